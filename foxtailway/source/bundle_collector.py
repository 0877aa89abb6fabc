"""Collection of consistent bundles from the platform's store."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result

from foxtailway.common.clock import Clock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.model.bundle import (
    BASE_KEY,
    HOSTS_PREFIX,
    Bundle,
    BundleKind,
    make_document,
)
from foxtailway.model.version import Version
from foxtailway.source.bundle_versioner import PLATFORM_PEER, BundleVersioner
from foxtailway.source.collector import BundleCollector
from foxtailway.source.document_set import (
    EMPTY_SET,
    DocumentRevision,
    DocumentSet,
    find_missing,
    is_unchanged,
    merge_changes,
    select_changes,
)
from foxtailway.source.reader import ChangeSet, KeyRevision, SourceReader

__all__ = ["SourceBundleCollector"]

# Maximum number of listings in one collection. A listing is repeated if a value was
# written between the listing and the read.
MAX_LISTINGS = 5
# Pause after a watch that ended without a change of the collected kind.
PAUSE_S = 0.2
# Revision of a document that has to be read again; the store has no such revision.
UNKNOWN_REVISION = -1
# Keys of the configuration have no common prefix.
PREFIXES = {BundleKind.CONFIG: "", BundleKind.HOSTS: HOSTS_PREFIX}


class SourceBundleCollector(BundleCollector):
    """List changes, read the changed values and verify their revisions.

    A value written after the listing has a revision other than the listed one;
    the listing is then repeated. Once all revisions match, the values are the
    state of the store at the revision of the listing.

    Parameters
    ----------
    reader : SourceReader
        Client of the platform's store.
    clock : Clock
        Clock for the deadline of a collection.
    read_generation : callable
        Function from the content of a base file to its generation.
    held_version : callable or None, default=None
        Function from a kind to the newest version that the node holds, or None.
        An equal set keeps that version, and an older set is not confirmed.
    max_listings : int, default=5
        Maximum number of listings in one collection, if values change meanwhile.
    pause_s : float, default=0.2
        Pause after a watch that ended without a change of the collected kind,
        in seconds.

    Notes
    -----
    A store restored from a backup may have another value at a known revision.
    The base file is therefore read again after each failure, and so are all
    documents if its generation has changed. Operators raise the generation after
    a restore.
    """

    def __init__(
        self,
        *,
        reader: SourceReader,
        clock: Clock,
        read_generation: Callable[[bytes], Result[int, Failure]],
        held_version: Callable[[BundleKind], Version | None] | None = None,
        max_listings: int = MAX_LISTINGS,
        pause_s: float = PAUSE_S,
    ) -> None:
        self.reader = reader
        self.clock = clock
        self.max_listings = max_listings
        self.pause_s = pause_s
        self.versioner = BundleVersioner(
            read_generation=read_generation, held_version=held_version
        )
        self.document_sets = dict.fromkeys(BundleKind, EMPTY_SET)
        self.kinds_to_relist = set(BundleKind)
        self.latest_revisions = dict.fromkeys(BundleKind, 0)

    async def collect(
        self, kind: BundleKind, *, wait_s: float
    ) -> Result[Bundle | None, Failure]:
        """Wait for a change and return the bundle of the changed set.

        Parameters
        ----------
        kind : BundleKind
            Kind of the bundle.
        wait_s : float
            Longest wait for a change, in seconds; 0 lists the changes once.

        Returns
        -------
        Result
            The bundle; None if nothing changed; or a failure. Its kind is
            ``STALE_VERSION`` if nothing changed and the platform responds from
            an older state than known before.
        """
        deadline = self.clock.now() + wait_s
        while True:
            previous = self.document_sets[kind]
            remaining_s = max(0.0, deadline - self.clock.now())
            listed = await self.list_changes(kind, previous, remaining_s)
            if listed.is_error():
                return Error(listed.error)
            if self.document_sets[kind] is not previous:
                continue
            if not is_unchanged(previous, listed.ok):
                return await self.collect_changes(kind, previous, listed.ok)
            self.kinds_to_relist.discard(kind)
            document_set = replace(previous, since=listed.ok.revision)
            if document_set.since < self.latest_revisions[kind]:
                self.document_sets[kind] = document_set
                detail = f"platform serves the older revision {document_set.since}"
                return Error(make_failure(FailureKind.STALE_VERSION, detail))
            confirmed = self.confirm(kind, document_set)
            is_expired = self.clock.now() + self.pause_s >= deadline
            if is_expired or confirmed.is_error() or confirmed.ok is not None:
                return confirmed
            await asyncio.sleep(self.pause_s)

    async def list_changes(
        self, kind: BundleKind, previous: DocumentSet, wait_s: float
    ) -> Result[ChangeSet, Failure]:
        """Return the changes of a kind since `previous`; all keys after a failure."""
        since = 0 if kind in self.kinds_to_relist else previous.since
        listed = await self.reader.list_changes(
            prefix=PREFIXES[kind], since=since, wait_s=wait_s
        )
        if listed.is_ok() and since == 0 and not listed.ok.is_complete:
            detail = "listing of all keys is not complete"
            listed = Error(make_failure(FailureKind.INVALID, detail))
        if listed.is_error():
            self.require_relisting(kind)
            return listed
        self.latest_revisions[kind] = max(
            self.latest_revisions[kind], listed.ok.revision
        )
        return Ok(select_changes(listed.ok, kind))

    async def collect_changes(
        self, kind: BundleKind, previous: DocumentSet, changes: ChangeSet
    ) -> Result[Bundle | None, Failure]:
        """Read the changed values; list again until all of them match."""
        read_documents: dict[KeyRevision, DocumentRevision] = {}
        for _ in range(self.max_listings):
            missing = find_missing(previous, changes)
            failure = await self.read_values(missing, read_documents)
            if failure is not None:
                self.require_relisting(kind)
                return Error(failure)
            if self.document_sets[kind] is not previous:
                break
            if all(change in read_documents for change in missing):
                items = [read_documents[change] for change in missing]
                return await self.accept_set(
                    kind, previous, merge_changes(previous, changes, items)
                )
            listed = await self.list_changes(kind, previous, 0.0)
            if listed.is_error():
                return Error(listed.error)
            changes = listed.ok
        return Error(
            make_failure(FailureKind.UNAVAILABLE, "values kept changing while read")
        )

    async def read_values(
        self,
        missing: tuple[KeyRevision, ...],
        read_documents: dict[KeyRevision, DocumentRevision],
    ) -> Failure | None:
        """Add values that have their listed revision to `read_documents`.

        Returns
        -------
        Failure or None
            Failure of a read; None if all reads succeeded.
        """
        unread = [change for change in missing if change not in read_documents]
        results = await asyncio.gather(
            *(self.reader.read_value(key=change.key) for change in unread)
        )
        for change, result in zip(unread, results, strict=True):
            if result.is_error():
                return result.error
            value = result.ok
            if value is not None and value.revision == change.revision:
                document = make_document(key=value.key, content=value.content)
                read_documents[change] = DocumentRevision(
                    revision=value.revision, document=document
                )
        return None

    async def accept_set(
        self, kind: BundleKind, previous: DocumentSet, merged: DocumentSet
    ) -> Result[Bundle | None, Failure]:
        """Store a consistent set and return its bundle.

        Collects again if the generation or the stored set changed meanwhile.
        """
        if kind is BundleKind.CONFIG:
            item = merged.documents.get(BASE_KEY)
            content = item.document.content if item is not None else None
            is_changed = self.versioner.update_generation(content)
            if is_changed and any(
                document_set.documents for document_set in self.document_sets.values()
            ):
                self.reset()
                return await self.collect(kind, wait_s=0.0)
        elif self.versioner.generation is None:
            value = await self.reader.read_value(key=BASE_KEY)
            if value.is_error():
                return Error(value.error)
            if self.versioner.generation is None:
                content = value.ok.content if value.ok is not None else None
                self.versioner.update_generation(content)
        if self.document_sets[kind] is not previous:
            return await self.collect(kind, wait_s=0.0)
        self.kinds_to_relist.discard(kind)
        return self.versioner.return_if_changed(self.store_set(kind, merged))

    def confirm(
        self, kind: BundleKind, document_set: DocumentSet
    ) -> Result[Bundle | None, Failure]:
        """Store an unchanged set and compare it with the known version."""
        if document_set.documents:
            return self.versioner.confirm(self.store_set(kind, document_set))
        self.document_sets[kind] = document_set
        return Ok(None)

    def store_set(self, kind: BundleKind, document_set: DocumentSet) -> Bundle:
        """Store a set with the revision that identifies it; return its bundle."""
        bundle = self.versioner.build_bundle(kind, document_set)
        revision = bundle.version.revision
        self.document_sets[kind] = replace(
            document_set, revision=revision, is_revision_exact=True
        )
        return bundle

    def require_relisting(self, kind: BundleKind) -> None:
        """Make the next collection list all keys and read the base file again."""
        document_set = self.document_sets[kind]
        documents = dict(document_set.documents)
        base = documents.get(BASE_KEY)
        if base is not None:
            # It stays in the set, so that a listing without it is a change.
            documents[BASE_KEY] = replace(base, revision=UNKNOWN_REVISION)
        self.document_sets[kind] = replace(document_set, documents=documents)
        self.kinds_to_relist.add(kind)

    def reset(self) -> None:
        """Drop all documents; they belong to an earlier generation."""
        self.document_sets = {kind: replace(EMPTY_SET) for kind in BundleKind}
        self.kinds_to_relist = set(BundleKind)
        self.latest_revisions = dict.fromkeys(BundleKind, 0)


def make_failure(kind: FailureKind, detail: str) -> Failure:
    """Return a failure to read from the platform."""
    return Failure(step=Step.SOURCE_READ, kind=kind, peer=PLATFORM_PEER, detail=detail)
