"""Reading and watching the platform's configuration service."""

from foxtailway.source.reader import ChangeSet, KeyRevision, SourceReader, SourceValue

__all__ = ["ChangeSet", "KeyRevision", "SourceReader", "SourceValue"]
