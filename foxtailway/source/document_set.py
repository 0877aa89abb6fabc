"""Decisions about which documents form a consistent set."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailway.model.bundle import (
    BASE_KEY,
    HOSTS_PREFIX,
    OVERLAY_PREFIX,
    SECRET_PREFIX,
    BundleKind,
    Document,
)
from foxtailway.model.version import Version
from foxtailway.source.reader import ChangeSet, KeyRevision

__all__ = [
    "EMPTY_SET",
    "DocumentSet",
    "HeldDocument",
    "choose_revision",
    "find_missing",
    "is_unchanged",
    "merge_changes",
    "select_changes",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldDocument:
    """Hold a document and the revision at which it was written."""

    revision: int
    document: Document


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentSet:
    """Hold the documents of one kind as they stood at one revision.

    Parameters
    ----------
    since : int
        Revision of the store up to which every change is included.
    revision : int
        Revision that names the set, at most `since`.
    is_named : bool
        False while `revision` is only that of the newest listed key, since
        deletions after it may not be listed.
    documents : Mapping of str to HeldDocument
        Documents by key.
    """

    since: int
    revision: int
    is_named: bool
    documents: Mapping[str, HeldDocument]


EMPTY_SET = DocumentSet(since=0, revision=0, is_named=False, documents={})


def is_member(key: str, kind: BundleKind) -> bool:
    """Tell whether a key belongs to the bundles of a kind."""
    if kind is BundleKind.HOSTS:
        return key.startswith(HOSTS_PREFIX)
    return key == BASE_KEY or key.startswith((OVERLAY_PREFIX, SECRET_PREFIX))


def select_changes(changes: ChangeSet, kind: BundleKind) -> ChangeSet:
    """Return the changes without the keys of other kinds."""
    selected = tuple(
        change for change in changes.changes if is_member(change.key, kind)
    )
    return ChangeSet(
        revision=changes.revision, changes=selected, is_complete=changes.is_complete
    )


def is_unchanged(held: DocumentSet, changes: ChangeSet) -> bool:
    """Tell whether a listing shows exactly the held documents."""
    if not changes.is_complete:
        return not changes.changes
    listed = {change.key: change.revision for change in changes.changes}
    return listed == {key: item.revision for key, item in held.documents.items()}


def find_missing(held: DocumentSet, changes: ChangeSet) -> tuple[KeyRevision, ...]:
    """Return the listed documents that have to be read."""
    missing = []
    for change in changes.changes:
        item = held.documents.get(change.key)
        if change.is_deleted or (item and item.revision == change.revision):
            continue
        missing.append(change)
    return tuple(missing)


def merge_changes(
    held: DocumentSet, changes: ChangeSet, read: Iterable[HeldDocument]
) -> DocumentSet:
    """Return the set as it stood at the revision of the listing.

    Parameters
    ----------
    held : DocumentSet
        Set before the changes.
    changes : ChangeSet
        Listing made after `held.since`.
    read : iterable of HeldDocument
        Documents of `find_missing`, each at its listed revision.

    Returns
    -------
    DocumentSet
        Set named by its newest listed change.
    """
    documents = dict(held.documents)
    if changes.is_complete:
        listed = {change.key for change in changes.changes}
        documents = {key: item for key, item in documents.items() if key in listed}
    for change in changes.changes:
        if change.is_deleted:
            documents.pop(change.key, None)
    documents.update((item.document.key, item) for item in read)
    newest = max((change.revision for change in changes.changes), default=0)
    return DocumentSet(
        since=changes.revision,
        revision=newest,
        is_named=not changes.is_complete,
        documents=documents,
    )


def choose_revision(
    kept: DocumentSet, *, collected: Version, held: Version | None
) -> int:
    """Return the revision that names a collected set.

    A complete listing leaves deletions out, so the newest written key may be
    older than the last change. Every revision from the last change up to
    `kept.since` names the set truly; the last of them is newer than all
    names of earlier sets.

    Parameters
    ----------
    kept : DocumentSet
        Collected set.
    collected : Version
        Version of the set under its present revision.
    held : Version or None
        Newest version held by the node.

    Returns
    -------
    int
        The held revision for an equal set; `kept.since` for a set without a
        name and for one that replaces a held set of a higher revision; else
        the present revision.
    """
    latest = kept.revision if kept.is_named else kept.since
    if held is None or held.generation != collected.generation:
        return latest
    if not kept.revision <= held.revision <= kept.since:
        return latest
    return held.revision if held.digest == collected.digest else kept.since
