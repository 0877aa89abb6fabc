"""Following of the platform's store."""

import asyncio
import time
import zlib
from collections.abc import Sequence
from random import Random

from foxtailway.platform.document import (
    DocumentError,
    decode_configuration,
    decode_upstream,
)
from foxtailway.platform.names import CONFIG_KEY, UPSTREAM_PREFIX
from foxtailway.platform.store import (
    HistoryLostError,
    StoreClient,
    StoreError,
    StoreItem,
)
from foxtailway.sidecar.node import SidecarNode
from foxtailway.sidecar.peer_message import PeerItem, PeerUpdate
from foxtailway.traffic.membership import Upstream

__all__ = ["StoreFeed"]

# Longest wait of a reader's watch. Each answer confirms to the followers that
# they know everything, so it has to stay below the age that they accept.
READER_WAIT_S = 0.6
# Longest wait of a watch of a node that feeds no other.
LONE_WAIT_S = 5.0
# Pause after an answer, so that a series of changes costs few calls.
COALESCE_S = 0.3
# Interval at which a follower looks whether it is still fed.
FOLLOW_INTERVAL_S = 0.1
# Idle time after which a kept connection to the store is not trusted.
MAX_IDLE_S = 2.0
# Changes in one answer from which on more are likely to wait behind them.
N_CHANGES_OF_BACKLOG = 10
# Outage after which the keys are listed anew: the changes since then may hold
# many versions of the configuration, of which only the last is of use.
MAX_CATCH_UP_S = 1.0
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0
ALL_KEYS = ""


class StoreFeed:
    """Keep a sidecar's configuration and membership up to date.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    node : SidecarNode
        Receives configurations and upstreams.
    random_source : Random
        Source of jitter.
    """

    def __init__(
        self, *, client: StoreClient, node: SidecarNode, random_source: Random
    ) -> None:
        self.client = client
        self.node = node
        self.random_source = random_source
        self.loop = asyncio.get_running_loop()
        self.revision: int | None = None
        self.backoff_s = FIRST_BACKOFF_S
        self.lost_at: float | None = None
        self.called_at = self.loop.time()
        node.update_handler = self.receive

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self.revision is None:
                    await self.list_all()
                elif self.node.roles.is_fed(self.loop.time()):
                    await asyncio.sleep(FOLLOW_INTERVAL_S)
                else:
                    await self.watch_once()
            except HistoryLostError as error:
                self.node.log.write("store_history_lost", error=error)
                self.revision = None
                await asyncio.sleep(FIRST_BACKOFF_S)
            except StoreError as error:
                await self.back_off(error)

    async def back_off(self, error: StoreError) -> None:
        """Note that the store failed and wait before the next call."""
        now = self.loop.time()
        self.node.membership.registry_failed(now)
        if self.lost_at is None:
            self.lost_at = now
            self.node.log.write("store_lost", error=error, revision=self.revision)
        await asyncio.sleep(self.backoff_s * (0.5 + self.random_source.random()))
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
        if self.loop.time() - self.lost_at > MAX_CATCH_UP_S:
            self.revision = None

    def answered(self) -> None:
        """Note that the store works."""
        self.backoff_s = FIRST_BACKOFF_S
        if self.lost_at is not None:
            self.lost_at = None
            self.node.membership.registry_failed(self.loop.time())
            self.node.log.write("store_regained", revision=self.revision)

    async def list_all(self) -> None:
        """Read all keys.

        Pages are read one after the other, so changes are followed from the
        revision of the first one.
        """
        revision: int | None = None
        items: list[StoreItem] = []
        after = ""
        while True:
            page = await self.client.list_page(ALL_KEYS, after)
            if revision is None:
                revision = page.revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self.answered()
        self.revision = revision
        upstreams = [
            upstream
            for item in items
            if item.key.startswith(UPSTREAM_PREFIX)
            and (upstream := self.decode_upstream(item)) is not None
        ]
        self.node.membership.replace_all(tuple(upstreams), self.loop.time())
        self.take_configurations(items)
        self.node.membership_changed()

    async def watch_once(self) -> None:
        """Wait for changes and take them over."""
        if self.loop.time() - self.called_at > MAX_IDLE_S:
            self.client.close()
        asked_at = read_boot_time()
        wait_s = READER_WAIT_S if self.node.roles.followers else LONE_WAIT_S
        if self.lost_at is not None:
            wait_s = READER_WAIT_S
        page = await self.client.watch(ALL_KEYS, self.revision, wait_s)
        self.called_at = self.loop.time()
        self.answered()
        # An update of a reader may have come meanwhile.
        base_revision = self.revision
        items = [item for item in page.items if item.revision > base_revision]
        self.revision = max(base_revision, page.revision)
        self.take(items)
        age_s = read_boot_time() - asked_at
        if not page.items:
            age_s = max(0.0, age_s - wait_s)
        self.pass_on(base_revision, items, age_s)
        if 0 < len(page.items) < N_CHANGES_OF_BACKLOG:
            await asyncio.sleep(COALESCE_S)

    def pass_on(
        self, base_revision: int, items: Sequence[StoreItem], age_s: float
    ) -> None:
        """Tell the followers what the store answered."""
        if not self.node.roles.followers:
            return
        last = max(
            (item.revision for item in items if is_configuration(item)), default=0
        )
        self.node.send_update(
            PeerUpdate(
                base_revision=base_revision,
                revision=self.revision,
                age_ms=int(age_s * 1000),
                items=tuple(
                    make_peer_item(item)
                    for item in items
                    if not is_configuration(item) or item.revision == last
                ),
            )
        )

    def receive(self, update: PeerUpdate) -> None:
        """Take over what a reader passed on, unless changes are missing."""
        if self.revision is None or update.base_revision > self.revision:
            return
        try:
            items = tuple(
                read_peer_item(item)
                for item in update.items
                if item.revision > self.revision
            )
        except zlib.error as error:
            self.node.log.write("update_malformed", error=error)
            return
        self.revision = max(self.revision, update.revision)
        self.take(items)
        self.node.roles.confirm(self.loop.time() - update.age_ms / 1000)

    def take(self, items: Sequence[StoreItem]) -> None:
        """Take over changes."""
        for item in items:
            if item.key.startswith(UPSTREAM_PREFIX):
                self.take_upstream(item)
        self.take_configurations(items)
        if items:
            self.node.membership_changed()

    def take_upstream(self, item: StoreItem) -> None:
        """Take over the change of an upstream's entry."""
        upstream_id = item.key.removeprefix(UPSTREAM_PREFIX)
        if item.is_removed:
            self.node.membership.remove(upstream_id, self.loop.time())
            self.node.log.write(
                "upstream_removed", upstream=upstream_id, revision=item.revision
            )
            return
        upstream = self.decode_upstream(item)
        if upstream is not None:
            self.node.membership.put(upstream)
            self.node.log.write(
                "upstream_changed",
                upstream=upstream_id,
                state=upstream.state.value,
                address=upstream.address,
                revision=item.revision,
            )

    def decode_upstream(self, item: StoreItem) -> Upstream | None:
        """Return the upstream of an entry, or None for a foreign entry."""
        upstream_id = item.key.removeprefix(UPSTREAM_PREFIX)
        try:
            return decode_upstream(item.key, upstream_id, item.content or b"")
        except DocumentError as error:
            self.node.log.write("entry_ignored", error=error, revision=item.revision)
            return None

    def take_configurations(self, items: Sequence[StoreItem]) -> None:
        """Put the last usable configuration among the items in force."""
        for item in reversed(items):
            if item.key != CONFIG_KEY or item.content is None:
                continue
            try:
                configuration = decode_configuration(item.key, item.content)
            except DocumentError as error:
                self.node.log.write(
                    "configuration_rejected", error=error, revision=item.revision
                )
                continue
            self.node.apply(configuration)
            return


def read_boot_time() -> float:
    """Return a time in seconds that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def is_configuration(item: StoreItem) -> bool:
    """Whether an item holds a configuration."""
    return item.key == CONFIG_KEY and item.content is not None


def make_peer_item(item: StoreItem) -> PeerItem:
    """Return the message that carries an item."""
    return PeerItem(
        key=item.key,
        revision=item.revision,
        is_removed=item.is_removed,
        content=zlib.compress(item.content) if item.content else b"",
    )


def read_peer_item(item: PeerItem) -> StoreItem:
    """Return the item that a message carries."""
    return StoreItem(
        key=item.key,
        revision=item.revision,
        is_removed=item.is_removed,
        content=zlib.decompress(item.content) if item.content else None,
    )
