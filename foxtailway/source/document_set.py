"""Selection of the documents that form a consistent set."""

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
    "DocumentRevision",
    "DocumentSet",
    "choose_revision",
    "find_missing",
    "is_unchanged",
    "merge_changes",
    "select_changes",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRevision:
    """Document with the revision of the store at which it was written."""

    revision: int
    document: Document


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentSet:
    """Documents of one kind as of one revision of the store.

    Parameters
    ----------
    since : int
        Revision of the store up to which all changes are included.
    revision : int
        Revision in the version of the set, at most `since`.
    is_revision_exact : bool
        False if `revision` is that of the newest key of a complete listing.
        Such a listing has no deletions, so the set may have changed later.
    documents : Mapping of str to DocumentRevision
        Documents by key.
    """

    since: int
    revision: int
    is_revision_exact: bool
    documents: Mapping[str, DocumentRevision]


EMPTY_SET = DocumentSet(since=0, revision=0, is_revision_exact=False, documents={})


def is_key_of_kind(key: str, kind: BundleKind) -> bool:
    """Return whether bundles of a kind contain a key."""
    if kind is BundleKind.HOSTS:
        return key.startswith(HOSTS_PREFIX)
    return key == BASE_KEY or key.startswith((OVERLAY_PREFIX, SECRET_PREFIX))


def select_changes(changes: ChangeSet, kind: BundleKind) -> ChangeSet:
    """Return the listing without the keys that belong to other kinds."""
    selected = tuple(
        change for change in changes.changes if is_key_of_kind(change.key, kind)
    )
    return ChangeSet(
        revision=changes.revision, changes=selected, is_complete=changes.is_complete
    )


def is_unchanged(previous: DocumentSet, changes: ChangeSet) -> bool:
    """Return whether a listing contains no change to the documents of a set."""
    if not changes.is_complete:
        return not changes.changes
    listed = {change.key: change.revision for change in changes.changes}
    return listed == {key: item.revision for key, item in previous.documents.items()}


def find_missing(previous: DocumentSet, changes: ChangeSet) -> tuple[KeyRevision, ...]:
    """Return the listed changes whose values are not in the previous set."""
    missing = []
    for change in changes.changes:
        item = previous.documents.get(change.key)
        if change.is_deleted or (item and item.revision == change.revision):
            continue
        missing.append(change)
    return tuple(missing)


def merge_changes(
    previous: DocumentSet,
    changes: ChangeSet,
    read_documents: Iterable[DocumentRevision],
) -> DocumentSet:
    """Return the set as of the revision of a listing.

    Parameters
    ----------
    previous : DocumentSet
        Set before the changes.
    changes : ChangeSet
        Changes after `previous.since`, or a complete listing.
    read_documents : iterable of DocumentRevision
        Documents that `find_missing` returns, each at its listed revision.

    Returns
    -------
    DocumentSet
        Set whose `revision` is that of the newest listed change.
    """
    documents = dict(previous.documents)
    if changes.is_complete:
        listed = {change.key for change in changes.changes}
        documents = {key: item for key, item in documents.items() if key in listed}
    for change in changes.changes:
        if change.is_deleted:
            documents.pop(change.key, None)
    documents.update((item.document.key, item) for item in read_documents)
    newest = max((change.revision for change in changes.changes), default=0)
    return DocumentSet(
        since=changes.revision,
        revision=newest,
        is_revision_exact=not changes.is_complete,
        documents=documents,
    )


def choose_revision(
    document_set: DocumentSet, *, collected: Version, held: Version | None
) -> int:
    """Return the revision for the version of a collected set.

    A complete listing omits deletions, so the newest listed key may be older
    than the last change. Every revision from the last change up to
    `document_set.since` identifies the set correctly; the last of them is higher
    than the revisions of all earlier sets.

    Parameters
    ----------
    document_set : DocumentSet
        Collected set.
    collected : Version
        Version of the set with its current revision.
    held : Version or None
        Newest version held by the node.

    Returns
    -------
    int
        The held revision if the held set is equal; `document_set.since` if the
        revision is not exact, or if the set replaces a held set of an equal or
        higher revision; else the current revision.
    """
    latest = (
        document_set.revision if document_set.is_revision_exact else document_set.since
    )
    if held is None or held.generation != collected.generation:
        return latest
    if not document_set.revision <= held.revision <= document_set.since:
        return latest
    return held.revision if held.digest == collected.digest else document_set.since
