"""Reading and watching the platform's configuration service."""

from foxtailway.source.collector import BundleCollector
from foxtailway.source.http_reader import HttpSourceReader
from foxtailway.source.reader import ChangeSet, KeyRevision, SourceReader, SourceValue

__all__ = [
    "BundleCollector",
    "ChangeSet",
    "HttpSourceReader",
    "KeyRevision",
    "SourceReader",
    "SourceValue",
]
