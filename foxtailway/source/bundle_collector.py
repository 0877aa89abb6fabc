"""Collector that reads consistent bundles through a source reader."""

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
from foxtailway.source.bundle_namer import PLATFORM_PEER, BundleNamer
from foxtailway.source.collector import BundleCollector
from foxtailway.source.document_set import (
    EMPTY_SET,
    DocumentSet,
    HeldDocument,
    find_missing,
    is_unchanged,
    merge_changes,
    select_changes,
)
from foxtailway.source.reader import ChangeSet, KeyRevision, SourceReader

__all__ = ["SourceBundleCollector"]

MAX_ATTEMPTS = 5
PAUSE_S = 0.2
PREFIXES = {BundleKind.CONFIG: "", BundleKind.HOSTS: HOSTS_PREFIX}


class SourceBundleCollector(BundleCollector):
    """List changes, read the changed values and verify their revisions.

    A value that was written after the listing carries another revision than
    the listed one; the listing is then repeated. Values that match are the
    state of the store at the revision of the listing.

    Parameters
    ----------
    reader : SourceReader
        Reader of the platform.
    clock : Clock
        Clock that bounds the waits.
    read_generation : callable
        Function that returns the generation named in the base file.
    held_version : callable or None, default=None
        Function that returns the newest version held by the node. An equal
        set keeps its name, and an older set is not confirmed.
    max_attempts : int, default=5
        Listings made while values keep changing.
    pause_s : float, default=0.2
        Pause after a watch that ended without a change of the kind, in
        seconds.

    Notes
    -----
    A store that was restored may show another value under a known revision.
    The base file is therefore read anew after each failure, and everything
    when its generation has changed, which operators raise after a restore.
    """

    def __init__(
        self,
        *,
        reader: SourceReader,
        clock: Clock,
        read_generation: Callable[[bytes], Result[int, Failure]],
        held_version: Callable[[BundleKind], Version | None] | None = None,
        max_attempts: int = MAX_ATTEMPTS,
        pause_s: float = PAUSE_S,
    ) -> None:
        self.reader = reader
        self.clock = clock
        self.max_attempts = max_attempts
        self.pause_s = pause_s
        self.namer = BundleNamer(
            read_generation=read_generation, held_version=held_version
        )
        self.sets = dict.fromkeys(BundleKind, EMPTY_SET)
        self.unsure = set(BundleKind)
        self.latest = dict.fromkeys(BundleKind, 0)

    async def collect(
        self, kind: BundleKind, *, wait_s: float
    ) -> Result[Bundle | None, Failure]:
        """Wait for a change and return the whole changed set.

        Parameters
        ----------
        kind : BundleKind
            Sequence to collect.
        wait_s : float
            Longest time to wait for a change, in seconds; 0 asks once.

        Returns
        -------
        Result
            The bundle; None when nothing changed; a failure of kind
            ``STALE_VERSION`` when nothing changed and the platform answers
            from an older state than was known.
        """
        deadline = self.clock.now() + wait_s
        while True:
            held = self.sets[kind]
            left_s = max(0.0, deadline - self.clock.now())
            listed = await self.list_changes(kind, held, left_s)
            if listed.is_error():
                return Error(listed.error)
            if self.sets[kind] is not held:
                continue
            if not is_unchanged(held, listed.ok):
                return await self.collect_changes(kind, held, listed.ok)
            self.unsure.discard(kind)
            kept = replace(held, since=listed.ok.revision)
            if kept.since < self.latest[kind]:
                self.sets[kind] = kept
                detail = f"platform answers from the older revision {kept.since}"
                return Error(fail(FailureKind.STALE_VERSION, detail))
            confirmed = self.confirm(kind, kept)
            is_late = self.clock.now() + self.pause_s >= deadline
            if is_late or confirmed.is_error() or confirmed.ok is not None:
                return confirmed
            await asyncio.sleep(self.pause_s)

    async def list_changes(
        self, kind: BundleKind, held: DocumentSet, wait_s: float
    ) -> Result[ChangeSet, Failure]:
        """List the changes of a kind; all keys after a failure."""
        since = 0 if kind in self.unsure else held.since
        listed = await self.reader.list_changes(
            prefix=PREFIXES[kind], since=since, wait_s=wait_s
        )
        if listed.is_ok() and since == 0 and not listed.ok.is_complete:
            detail = "listing of all keys is not complete"
            listed = Error(fail(FailureKind.INVALID, detail))
        if listed.is_error():
            self.doubt(kind)
            return listed
        self.latest[kind] = max(self.latest[kind], listed.ok.revision)
        return Ok(select_changes(listed.ok, kind))

    async def collect_changes(
        self, kind: BundleKind, held: DocumentSet, changes: ChangeSet
    ) -> Result[Bundle | None, Failure]:
        """Read the changed values until all of them match a listing."""
        read: dict[KeyRevision, HeldDocument] = {}
        for _ in range(self.max_attempts):
            missing = find_missing(held, changes)
            failure = await self.read_values(missing, read)
            if failure is not None:
                self.doubt(kind)
                return Error(failure)
            if self.sets[kind] is not held:
                break
            if all(change in read for change in missing):
                items = [read[change] for change in missing]
                return await self.adopt(kind, held, merge_changes(held, changes, items))
            listed = await self.list_changes(kind, held, 0.0)
            if listed.is_error():
                return Error(listed.error)
            changes = listed.ok
        return Error(fail(FailureKind.UNAVAILABLE, "values kept changing while read"))

    async def read_values(
        self, missing: tuple[KeyRevision, ...], read: dict[KeyRevision, HeldDocument]
    ) -> Failure | None:
        """Read values into `read` when they carry the listed revisions."""
        wanted = [change for change in missing if change not in read]
        results = await asyncio.gather(
            *(self.reader.read_value(key=change.key) for change in wanted)
        )
        for change, result in zip(wanted, results, strict=True):
            if result.is_error():
                return result.error
            value = result.ok
            if value is not None and value.revision == change.revision:
                document = make_document(key=value.key, content=value.content)
                read[change] = HeldDocument(revision=value.revision, document=document)
        return None

    async def adopt(
        self, kind: BundleKind, held: DocumentSet, merged: DocumentSet
    ) -> Result[Bundle | None, Failure]:
        """Keep a consistent set and return its bundle."""
        if kind is BundleKind.CONFIG:
            item = merged.documents.get(BASE_KEY)
            content = item.document.content if item is not None else None
            is_changed = self.namer.update_generation(content)
            if is_changed and any(kept.documents for kept in self.sets.values()):
                self.forget()
                return await self.collect(kind, wait_s=0.0)
        elif self.namer.generation is None:
            value = await self.reader.read_value(key=BASE_KEY)
            if value.is_error():
                return Error(value.error)
            if self.namer.generation is None:
                content = value.ok.content if value.ok is not None else None
                self.namer.update_generation(content)
        if self.sets[kind] is not held:
            return await self.collect(kind, wait_s=0.0)
        self.unsure.discard(kind)
        return self.namer.offer(self.build(kind, merged))

    def confirm(
        self, kind: BundleKind, kept: DocumentSet
    ) -> Result[Bundle | None, Failure]:
        """Keep an unchanged set and return what that says."""
        if kept.documents:
            return self.namer.confirm(self.build(kind, kept))
        self.sets[kind] = kept
        return Ok(None)

    def build(self, kind: BundleKind, kept: DocumentSet) -> Bundle:
        """Keep a set under its true name and return its bundle."""
        bundle = self.namer.build(kind, kept)
        revision = bundle.version.revision
        self.sets[kind] = replace(kept, revision=revision, is_named=True)
        return bundle

    def doubt(self, kind: BundleKind) -> None:
        """List all keys and read the base file anew after a failure."""
        kept = self.sets[kind]
        documents = dict(kept.documents)
        documents.pop(BASE_KEY, None)
        self.sets[kind] = replace(kept, documents=documents)
        self.unsure.add(kind)

    def forget(self) -> None:
        """Drop all documents, since they belong to an earlier generation."""
        self.sets = {kind: replace(EMPTY_SET) for kind in BundleKind}
        self.unsure = set(BundleKind)
        self.latest = dict.fromkeys(BundleKind, 0)


def fail(kind: FailureKind, detail: str) -> Failure:
    """Return a failure of a reading."""
    return Failure(step=Step.SOURCE_READ, kind=kind, peer=PLATFORM_PEER, detail=detail)
