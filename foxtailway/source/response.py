"""Parsing of the responses of the platform's configuration service."""

from typing import Any

import orjson

from foxtailway.source.reader import ChangeSet, KeyRevision

__all__ = ["parse_change_set", "parse_revision"]

# 18 digits fit into a signed 64-bit integer.
MAX_REVISION_DIGITS = 18


def parse_change_set(body: bytes) -> ChangeSet | None:
    """Return the changes listed in a response body; None if it is malformed."""
    try:
        listing = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(listing, dict):
        return None
    revision = listing.get("revision")
    is_complete = listing.get("complete")
    items = listing.get("changes")
    if not is_revision(revision) or type(is_complete) is not bool:
        return None
    if not isinstance(items, list):
        return None
    changes = tuple(parse_change(item) for item in items)
    if None in changes:
        return None
    return ChangeSet(revision=revision, changes=changes, is_complete=is_complete)


def parse_change(item: Any) -> KeyRevision | None:
    """Return one listed change; None if it is malformed."""
    if not isinstance(item, dict):
        return None
    key = item.get("key")
    revision = item.get("revision")
    is_deleted = item.get("deleted")
    if not isinstance(key, str) or not key:
        return None
    if not is_revision(revision) or type(is_deleted) is not bool:
        return None
    return KeyRevision(key=key, revision=revision, is_deleted=is_deleted)


def parse_revision(text: str) -> int | None:
    """Return the revision written as decimal digits; None for other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_REVISION_DIGITS:
        return None
    return int(text)


def is_revision(value: Any) -> bool:
    """Return whether a value is a revision number."""
    return type(value) is int and 0 <= value < 10**MAX_REVISION_DIGITS
