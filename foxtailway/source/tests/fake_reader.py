"""Fake source reader with an in-memory store and concurrent writes."""

from collections.abc import Callable

from expression import Error, Ok, Result

from foxtailway.common import Failure, FailureKind, ManualClock, Step
from foxtailway.model import Version
from foxtailway.source import ChangeSet, KeyRevision, SourceReader, SourceValue
from foxtailway.testing.platform_store import PlatformStore

Action = Callable[[PlatformStore], object]
OUTAGE = Failure(
    step=Step.SOURCE_READ, kind=FailureKind.UNREACHABLE, peer="fake", detail="outage"
)


class FakeSourceReader(SourceReader):
    """Serve an in-memory store; run one action of the script before each call.

    Attributes
    ----------
    script : list of callable or None
        Actions on the store, such as a concurrent write; None is an outage.
    served_revision : int or None
        Revision of the state that a stale store serves; None for the newest.
    """

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.clock = ManualClock()
        self.script: list[Action | None] = []
        self.served_revision: int | None = None
        self.listed_since: list[int] = []
        self.read_keys: list[str] = []

    def run_next_action(self) -> bool:
        """Run the next action of the script; return whether it is an outage."""
        if not self.script:
            return False
        action = self.script.pop(0)
        if action is not None:
            action(self.store)
        return action is None

    def find_revision(self) -> int:
        return (
            self.store.revision
            if self.served_revision is None
            else self.served_revision
        )

    async def list_changes(
        self, *, prefix: str, since: int, wait_s: float
    ) -> Result[ChangeSet, Failure]:
        if self.run_next_action():
            return Error(OUTAGE)
        self.listed_since.append(since)
        at = self.find_revision()
        changes = self.store.list_changes(prefix=prefix, since=since, at=at)
        if not changes:
            self.clock.advance(wait_s)
        listed = tuple(
            KeyRevision(
                key=stored.key,
                revision=stored.revision,
                is_deleted=stored.content is None,
            )
            for stored in changes
        )
        is_complete = self.store.is_full_listing(since=since, at=at)
        return Ok(ChangeSet(revision=at, changes=listed, is_complete=is_complete))

    async def read_value(self, *, key: str) -> Result[SourceValue | None, Failure]:
        if self.run_next_action():
            return Error(OUTAGE)
        self.read_keys.append(key)
        stored = self.store.read(key, at=self.find_revision())
        if stored is None:
            return Ok(None)
        value = SourceValue(key=key, revision=stored.revision, content=stored.content)
        return Ok(value)


def read_generation(content: bytes) -> Result[int, Failure]:
    """Return the number before the first colon; other content is a failure."""
    head = content.partition(b":")[0]
    return Ok(int(head)) if head.isdigit() else Error(OUTAGE)


def order_key(version: Version) -> tuple[int, int]:
    """Return the part of a version by which versions are ordered."""
    return version.generation, version.revision
