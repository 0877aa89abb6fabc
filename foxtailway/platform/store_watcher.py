"""Following of the platform's store."""

import asyncio
import time
from collections.abc import Iterable
from random import Random

from foxtailway.platform.document import (
    ConfigurationDecoder,
    DocumentError,
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
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.membership import Upstream
from foxtailway.traffic.registry_change import RegistryChange

__all__ = ["StoreWatcher"]

# Longest wait of a watch of a node that feeds no other, in seconds.
LONE_WAIT_S = 5.0
# Wait of a watch that is to be answered at once, in seconds. The pages do not say
# whether a watch without any wait returns the changes that lie ready.
SHORT_WAIT_S = 0.05
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
# Pauses after failed calls, in seconds. Nodes that read for others come back
# sooner; `ReaderTimings` bounds the pauses of the others.
FIRST_BACKOFF_S = 0.15
MAX_READER_BACKOFF_S = 0.8
ALL_KEYS = ""


class StoreWatcher:
    """Keep a sidecar's configuration and membership up to date.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    node : SidecarNode
        Receives configurations and upstreams.
    random_source : Random
        Source of jitter.

    Attributes
    ----------
    must_list : bool
        Whether all keys have to be read before changes are followed.
    """

    def __init__(
        self, *, client: StoreClient, node: SidecarNode, random_source: Random
    ) -> None:
        self.client = client
        self.node = node
        self.exchange = node.exchange
        self.random_source = random_source
        self.loop = asyncio.get_running_loop()
        self.decoder = ConfigurationDecoder()
        self.must_list = True
        self.backoff_s = FIRST_BACKOFF_S
        self.lost_at: float | None = None
        self.called_at = self.loop.time()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self.node.roles.is_following(self.loop.time()):
                    self.rely_on_reader()
                    await asyncio.sleep(FOLLOW_INTERVAL_S)
                elif self.must_list:
                    await self.list_all()
                else:
                    await self.watch_once()
            except HistoryLostError as error:
                self.node.log.write("store_history_lost", error=error)
                self.must_list = True
                await asyncio.sleep(FIRST_BACKOFF_S)
            except StoreError as error:
                await self.back_off(error)

    async def back_off(self, error: StoreError) -> None:
        """Note that the store failed and wait before the next call."""
        now = self.loop.time()
        self.node.membership.record_registry_failure(now)
        if self.lost_at is None:
            self.lost_at = now
            self.node.log.write(
                "store_lost", error=error, revision=self.exchange.revision
            )
        self.exchange.broadcast_age()
        await asyncio.sleep(self.backoff_s * (0.5 + self.random_source.random()))
        is_reader = self.node.roles.is_reader(self.loop.time())
        limit_s = self.node.roles.timings.max_backoff_s
        if is_reader:
            limit_s = min(limit_s, MAX_READER_BACKOFF_S)
        self.backoff_s = min(limit_s, self.backoff_s * 2)
        if self.loop.time() - self.lost_at > MAX_CATCH_UP_S:
            self.must_list = True

    def rely_on_reader(self) -> None:
        """Note that a reader confirms what is known, so the store works.

        Its updates tell when the store failed. An answer to this node, much
        later, must not pass for the end of that failure.
        """
        self.must_list = False
        if self.lost_at is not None:
            self.end_outage()

    def end_outage(self) -> None:
        """Note that the store works again."""
        self.lost_at = None
        self.backoff_s = FIRST_BACKOFF_S
        self.node.log.write("store_regained", revision=self.exchange.revision)

    def answered(self) -> None:
        """Note that the store works."""
        self.node.roles.store_delay_s = self.client.connect_s
        if self.lost_at is not None:
            self.node.membership.record_registry_failure(self.loop.time())
            self.end_outage()

    async def list_all(self) -> None:
        """Read all keys.

        Pages are read one after the other, so changes are followed from the
        revision of the first one.
        """
        asked_at = read_boot_time()
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
        self.must_list = False
        age_s = read_boot_time() - asked_at
        self.exchange.publish_change(self.decode(None, revision, items), age_s)
        self.node.roles.record_listing(self.loop.time() - age_s)

    async def watch_once(self) -> None:
        """Wait for changes and take them over."""
        if self.loop.time() - self.called_at > MAX_IDLE_S:
            self.client.close()
        asked_at = read_boot_time()
        wait_s = self.choose_wait()
        page = await self.client.watch(ALL_KEYS, self.exchange.revision, wait_s)
        self.called_at = self.loop.time()
        self.answered()
        # An update of a reader may have come meanwhile.
        base_revision = self.exchange.revision
        items = [item for item in page.items if item.revision > base_revision]
        age_s = read_boot_time() - asked_at
        if not page.items:
            age_s = max(0.0, age_s - wait_s)
        revision = max(base_revision, page.revision)
        self.exchange.publish_change(self.decode(base_revision, revision, items), age_s)
        if 0 < len(page.items) < N_CHANGES_OF_BACKLOG:
            await asyncio.sleep(COALESCE_S)

    def choose_wait(self) -> float:
        """Return how long the next watch may wait for changes, in seconds.

        A node that has just taken over as reader asks for an answer at once,
        since its followers are about to read for themselves.
        """
        now = self.loop.time()
        confirm_interval_s = self.node.roles.timings.confirm_interval_s
        if self.node.roles.is_reader(now):
            is_late = now - self.exchange.up_to_date_at > confirm_interval_s
            return SHORT_WAIT_S if is_late else confirm_interval_s
        return LONE_WAIT_S if self.lost_at is None else confirm_interval_s

    def decode(
        self, base_revision: int | None, revision: int, items: Iterable[StoreItem]
    ) -> RegistryChange:
        """Return what items say; the last item of a key counts."""
        last = {item.key: item for item in items if item.key != CONFIG_KEY}
        upstreams: list[Upstream] = []
        removed: list[str] = []
        for key, item in last.items():
            if not key.startswith(UPSTREAM_PREFIX):
                continue
            if item.is_removed:
                removed.append(key.removeprefix(UPSTREAM_PREFIX))
                continue
            upstream = self.decode_upstream(item)
            if upstream is not None:
                upstreams.append(upstream)
        return RegistryChange(
            base_revision=base_revision,
            revision=revision,
            upstreams=tuple(upstreams),
            removed=tuple(removed),
            configuration=self.decode_configuration(items),
        )

    def decode_upstream(self, item: StoreItem) -> Upstream | None:
        """Return the upstream of an entry, or None for a foreign entry."""
        upstream_id = item.key.removeprefix(UPSTREAM_PREFIX)
        try:
            return decode_upstream(item.key, upstream_id, item.content or b"")
        except DocumentError as error:
            self.node.log.write("entry_ignored", error=error, revision=item.revision)
            return None

    def decode_configuration(
        self, items: Iterable[StoreItem]
    ) -> TrafficConfiguration | None:
        """Return the last usable configuration among the items."""
        versions = [
            item
            for item in items
            if item.key == CONFIG_KEY and item.content is not None
        ]
        for item in reversed(versions):
            try:
                return self.decoder.decode(item.key, item.content)
            except DocumentError as error:
                self.node.log.write(
                    "configuration_rejected", error=error, revision=item.revision
                )
        return None


def read_boot_time() -> float:
    """Return a time in seconds that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
