"""Immutable data classes: versions, bundles, hosts and snapshots."""

from foxtailway.common.lazy_import import make_getattr

# Lazy imports: a process loads only the modules that it uses.
MODULE_BY_NAME = {
    "BASE_KEY": "foxtailway.model.bundle",
    "Bundle": "foxtailway.model.bundle",
    "BundleKind": "foxtailway.model.bundle",
    "Cluster": "foxtailway.model.snapshot",
    "Document": "foxtailway.model.bundle",
    "HOSTS_PREFIX": "foxtailway.model.bundle",
    "Host": "foxtailway.model.host",
    "HostState": "foxtailway.model.host",
    "Listener": "foxtailway.model.snapshot",
    "OVERLAY_PREFIX": "foxtailway.model.bundle",
    "Route": "foxtailway.model.snapshot",
    "SECRET_PREFIX": "foxtailway.model.bundle",
    "Secret": "foxtailway.model.snapshot",
    "Snapshot": "foxtailway.model.snapshot",
    "Version": "foxtailway.model.version",
    "VersionOrder": "foxtailway.model.version",
    "compare_versions": "foxtailway.model.version",
    "digest_content": "foxtailway.model.bundle",
    "make_bundle": "foxtailway.model.bundle",
    "make_document": "foxtailway.model.bundle",
}

__all__ = sorted(MODULE_BY_NAME)
__getattr__ = make_getattr(__name__, MODULE_BY_NAME)
