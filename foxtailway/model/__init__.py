"""Immutable data shared by the core and the layers around it."""

from foxtailway.model.bundle import (
    BASE_KEY,
    HOSTS_PREFIX,
    OVERLAY_PREFIX,
    SECRET_PREFIX,
    Bundle,
    BundleKind,
    Document,
    digest_content,
    make_bundle,
    make_document,
)
from foxtailway.model.host import Host, HostState
from foxtailway.model.snapshot import Cluster, Listener, Route, Secret, Snapshot
from foxtailway.model.version import Version, VersionOrder, compare_versions

__all__ = [
    "BASE_KEY",
    "HOSTS_PREFIX",
    "OVERLAY_PREFIX",
    "SECRET_PREFIX",
    "Bundle",
    "BundleKind",
    "Cluster",
    "Document",
    "Host",
    "HostState",
    "Listener",
    "Route",
    "Secret",
    "Snapshot",
    "Version",
    "VersionOrder",
    "compare_versions",
    "digest_content",
    "make_bundle",
    "make_document",
]
