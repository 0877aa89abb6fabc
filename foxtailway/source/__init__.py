"""Reads and watches of the platform's configuration service."""

from foxtailway.source.bundle_collector import SourceBundleCollector
from foxtailway.source.collector import BundleCollector
from foxtailway.source.http_reader import HttpSourceReader
from foxtailway.source.reader import ChangeSet, KeyRevision, SourceReader, SourceValue

__all__ = [
    "BundleCollector",
    "ChangeSet",
    "HttpSourceReader",
    "KeyRevision",
    "SourceBundleCollector",
    "SourceReader",
    "SourceValue",
]
