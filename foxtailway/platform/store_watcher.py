"""Watcher of the platform's store."""

import asyncio
import time
from random import Random

from foxtailway.platform.change_decoder import ChangeDecoder
from foxtailway.platform.names import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
)
from foxtailway.platform.store import (
    HistoryLostError,
    StoreClient,
    StoreError,
    StoreItem,
)
from foxtailway.sidecar.node import SidecarNode
from foxtailway.traffic.registry_change import StorePosition

__all__ = ["StoreWatcher"]

# Longest wait of a watch by a node that is not a reader.
NON_READER_WATCH_WAIT_S = 5.0
# Wait of a watch that should return at once. The platform's documentation does not
# state whether a watch with a wait of zero returns the pending changes.
MIN_WATCH_WAIT_S = 0.05
# Pause after a response with changes, so that a series of changes needs few calls.
COALESCE_DELAY_S = 0.3
# Interval at which a follower checks whether its reader still confirms its state.
FOLLOWER_CHECK_INTERVAL_S = 0.1
# Idle time after which a persistent connection to the store is not reused.
MAX_CONNECTION_IDLE_S = 2.0
# Number of changes in one response at which further changes are likely to be pending.
N_BACKLOG_CHANGES = 10
# Length of an outage after which the keys are listed again. The changes since then may
# contain many versions of the configuration, of which only the last is needed.
RELIST_OUTAGE_S = 1.0
# Age of the known state up to which a watch has a short backlog in any case.
MAX_WATCH_AGE_S = 0.8
# Time in which several versions of the configuration make a further one likely.
STORM_PERIOD_S = 5.0
# Pause after the first failed call; it doubles with each further one.
FIRST_BACKOFF_S = 0.15
# Longest pause of a reader before jitter. It is shorter than that of other nodes, which
# `ReaderTimings` limits, since followers depend on the reader.
MAX_READER_BACKOFF_S = 0.8
# Time to connect below which the store is in the region of the node. A round trip
# between regions takes longer.
MAX_NEAR_STORE_DELAY_S = 0.01
# Time for which a new node asks the seeds of its region for its first configuration
# before it reads the store.
SEED_TIMEOUT_S = 1.0
# Time after which it asks the next seed.
SEED_INTERVAL_S = 0.5
# Interval at which it checks whether it has a configuration.
SEED_CHECK_INTERVAL_S = 0.02
# Pause after an unexpected error, which may occur again at once.
ERROR_PAUSE_S = 0.5
ALL_KEYS = ""


class StoreWatcher:
    """Watcher that keeps a sidecar's configuration and membership up to date.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    node : SidecarNode
        Node that applies the changes.
    random_source : Random
        Source of the jitter of pauses.
    is_first_start : bool, default=False
        Whether all sidecars start for the first time, so that none of them can send
        another one its first configuration.

    Attributes
    ----------
    is_listing_needed : bool
        Whether all keys have to be listed before changes can be watched.
    is_started : bool
        Whether the first configuration is not to be requested from a seed.
    registry_listed_at : float
        Monotonic time at which a new node listed the registry, in seconds.
    n_seed_requests : int
        Requests for the first configuration that were sent to seeds.
    """

    def __init__(
        self,
        *,
        client: StoreClient,
        node: SidecarNode,
        random_source: Random,
        is_first_start: bool = False,
    ) -> None:
        self.client = client
        self.node = node
        self.exchange = node.exchange
        self.random_source = random_source
        self.loop = asyncio.get_running_loop()
        self.decoder = ChangeDecoder(node=node)
        self.is_listing_needed = True
        self.is_started = is_first_start
        self.registry_listed_at = float("-inf")
        self.n_seed_requests = 0
        self.backoff_s = FIRST_BACKOFF_S
        self.outage_started_at: float | None = None
        self.access = self.exchange.access
        self.access.last_success_at = self.loop.time()

    async def run(self) -> None:
        """Watch the store, or follow a reader, until cancelled."""
        while True:
            await self.run_once()

    async def run_once(self) -> None:
        """Make one call of the store or check the reader; handle the errors."""
        try:
            if self.exchange.revision is None and not self.is_started:
                await self.read_first_state()
            elif self.exchange.configuration is None and not self.is_started:
                await self.obtain_configuration()
            elif self.node.roles.is_following(self.loop.time()):
                self.follow_reader()
                await asyncio.sleep(FOLLOWER_CHECK_INTERVAL_S)
            elif self.must_list():
                await self.list_all()
            else:
                await self.watch_once()
        except HistoryLostError as error:
            self.node.log.write("store_history_lost", error=error)
            self.is_listing_needed = True
            await asyncio.sleep(FIRST_BACKOFF_S)
        except StoreError as error:
            await self.back_off(error)
        except Exception as error:
            # A part of a change may have been applied.
            self.node.log.write_error("watch", error)
            self.is_listing_needed = True
            await asyncio.sleep(ERROR_PAUSE_S)

    async def back_off(self, error: StoreError) -> None:
        """Record that a call failed and pause before the next one.

        A connection that broke is replaced without a pause, since the store may not
        have failed at all.
        """
        now = self.loop.time()
        is_first_failure = self.outage_started_at is None
        if is_first_failure:
            self.outage_started_at = now
            self.node.log.write(
                "store_lost", error=error, revision=self.exchange.revision
            )
        self.exchange.record_failed_call()
        if is_first_failure and error.is_disconnected:
            return
        await asyncio.sleep(self.backoff_s * (0.5 + self.random_source.random()))
        is_reader = self.node.roles.is_reader(self.loop.time())
        limit_s = self.node.roles.timings.max_backoff_s
        if is_reader:
            limit_s = min(limit_s, MAX_READER_BACKOFF_S)
        self.backoff_s = min(limit_s, self.backoff_s * 2)
        if self.loop.time() - self.outage_started_at > RELIST_OUTAGE_S:
            self.is_listing_needed = True

    def follow_reader(self) -> None:
        """Record that a reader confirms the state of this node, so the store works."""
        self.access.record_following()
        self.is_listing_needed = False
        if self.outage_started_at is not None:
            self.end_outage()

    def end_outage(self) -> None:
        """Record that an outage of the store has ended."""
        self.outage_started_at = None
        self.backoff_s = FIRST_BACKOFF_S
        self.node.log.write("store_regained", revision=self.exchange.revision)

    def record_success(self) -> None:
        """Record that the store responded, which ends an outage if there is one."""
        self.node.roles.store_delay_s = self.client.min_connect_s
        self.access.record_success(self.exchange.up_to_date_at, self.loop.time())
        if self.outage_started_at is not None:
            self.end_outage()

    def must_list(self) -> bool:
        """Return whether all keys are listed next, and no changes are watched."""
        is_restored = (self.client.epoch or 0) > self.exchange.epoch
        return self.is_listing_needed or is_restored or self.is_backlog_likely()

    def is_backlog_likely(self) -> bool:
        """Return whether the changes that this node lacks probably exceed a listing.

        A watch returns every version of the configuration in full, a listing only the
        last one. A node that takes over while versions follow each other quickly would
        need seconds for the backlog on a slow link.
        """
        now = self.loop.time()
        if now - self.exchange.up_to_date_at <= MAX_WATCH_AGE_S:
            return False
        return self.exchange.history.count_versions_since(now - STORM_PERIOD_S) > 1

    async def read_first_state(self) -> None:
        """List all keys of a near store, or the registry of a store in another region.

        The registry tells a node its peers. The configuration is large, and after a
        power loss all nodes of a region would read it over the link between regions.
        """
        if await self.client.measure_delay() < MAX_NEAR_STORE_DELAY_S:
            await self.list_all()
            self.is_started = True
        else:
            await self.list_registry()

    def find_epoch(self, epoch: int | None, known_epoch: int, step: str) -> int:
        """Return the epoch of a response, or raise `StoreError` if it has ended.

        Parameters
        ----------
        epoch : int or None
            Epoch in the response; if it does not state it, the known one continues.
        known_epoch : int
            Epoch that was known when the call was made.
        step : str
            Name of the call.
        """
        if epoch is None:
            return known_epoch
        if epoch < known_epoch:
            detail = f"response of epoch {epoch}, known is {known_epoch}"
            raise StoreError(step=step, peer=self.client.peer, detail=detail)
        return epoch

    async def list_registry(self) -> None:
        """List and apply the registry and, where there may be any, the evacuations.

        Changes are watched from the revision of the first listing. They include the
        evacuations that began or ended before the second one.

        Raises
        ------
        HistoryLostError
            If the store was restored between the listings.
        """
        requested_at = read_boot_time()
        position, items = await self.list_keys(UPSTREAM_PREFIX)
        if self.node.settings.has_evacuations:
            other, evacuations = await self.list_keys(EVACUATION_PREFIX)
            if other.epoch != position.epoch:
                raise self.make_restore_error()
            items += evacuations
        age_s = read_boot_time() - requested_at
        # Recorded first, so that the node doesn't consider itself a reader for now.
        self.node.roles.record_listing(self.loop.time() - age_s)
        self.exchange.publish_change(
            self.decoder.decode_change(None, position, items), age_s
        )
        self.registry_listed_at = self.loop.time()

    async def obtain_configuration(self) -> None:
        """Ask the seeds of the region for the first configuration, then the store."""
        waited_s = self.loop.time() - self.registry_listed_at
        seeds = self.node.roles.seeds
        if not seeds or waited_s >= SEED_TIMEOUT_S:
            await self.list_configuration()
            return
        n_requests = int(waited_s / SEED_INTERVAL_S) + 1
        if self.n_seed_requests < n_requests:
            self.exchange.request_first_listing(
                seeds[self.n_seed_requests % len(seeds)]
            )
            self.n_seed_requests += 1
        await asyncio.sleep(SEED_CHECK_INTERVAL_S)

    async def list_configuration(self) -> None:
        """Read and apply the configuration; the registry has been listed before.

        Changes are watched from the revision of the registry. They include the
        configuration if there is none yet. All keys are listed again if the store was
        restored in between.
        """
        listed, items = await self.list_keys(CONFIG_KEY)
        position = self.exchange.position
        self.is_started = True
        self.is_listing_needed = listed.epoch != position.epoch
        age_s = self.loop.time() - self.exchange.up_to_date_at
        change = self.decoder.decode_change(position.revision, position, items)
        self.exchange.publish_change(change, age_s)

    async def list_all(self) -> None:
        """List all keys and apply them."""
        is_taking_over = self.is_taking_over()
        requested_at = read_boot_time()
        position, items = await self.list_keys(ALL_KEYS)
        self.is_listing_needed = False
        age_s = read_boot_time() - requested_at
        if not is_taking_over:
            self.node.roles.record_listing(self.loop.time() - age_s)
        self.exchange.publish_change(
            self.decoder.decode_change(None, position, items), age_s
        )

    def is_taking_over(self) -> bool:
        """Return whether this node is the reader because those before it failed.

        After a start and after an outage of the store, nearly all nodes read it and
        have heard of no reader for a while. What such a node reads counts as a
        confirmation, so that it gives the nodes before it time to be the reader.
        Otherwise each would send its state to all others.
        """
        is_reader = self.node.roles.is_reader(self.loop.time())
        return is_reader and self.outage_started_at is None

    def make_restore_error(self) -> HistoryLostError:
        """Return the error for a store that was restored during a listing."""
        return HistoryLostError(
            step="kv-range", peer=self.client.peer, detail="restored during a listing"
        )

    async def list_keys(self, prefix: str) -> tuple[StorePosition, list[StoreItem]]:
        """Return the items with a prefix and the position from which to watch them.

        Keys may change between two pages, so it is the position of the first page.

        Raises
        ------
        HistoryLostError
            If the store was restored between two pages.
        """
        known_epoch = self.exchange.epoch
        position: StorePosition | None = None
        items: list[StoreItem] = []
        after = ""
        while True:
            page = await self.client.list_page(prefix, after)
            epoch = self.find_epoch(page.epoch, known_epoch, "kv-range")
            if position is None:
                position = StorePosition(epoch=epoch, revision=page.revision)
            elif epoch != position.epoch:
                raise self.make_restore_error()
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self.record_success()
        return position, items

    async def watch_once(self) -> None:
        """Wait for changes once and apply them.

        Changes of another epoch than that of the request may be incomplete, since the
        revision in the request did not belong to it.
        """
        if self.loop.time() - self.access.last_success_at > MAX_CONNECTION_IDLE_S:
            self.client.close()
        is_taking_over = self.is_taking_over()
        requested_at = read_boot_time()
        wait_s = self.choose_wait_s()
        requested = self.exchange.position
        page = await self.client.watch(ALL_KEYS, requested.revision, wait_s)
        epoch = self.find_epoch(page.epoch, requested.epoch, "kv-watch")
        self.record_success()
        if epoch > self.exchange.epoch:
            self.is_listing_needed = True
        if not requested.epoch == epoch == self.exchange.epoch:
            return
        # A reader may have sent an update during the call.
        base_revision = self.exchange.revision
        items = [item for item in page.items if item.revision > base_revision]
        age_s = read_boot_time() - requested_at
        if not page.items:
            age_s = max(0.0, age_s - wait_s)
        position = StorePosition(
            epoch=epoch, revision=max(base_revision, page.revision)
        )
        if not is_taking_over:
            self.node.roles.record_listing(self.loop.time() - age_s)
        self.exchange.publish_change(
            self.decoder.decode_change(base_revision, position, items), age_s
        )
        if 0 < len(page.items) < N_BACKLOG_CHANGES:
            await asyncio.sleep(COALESCE_DELAY_S)

    def choose_wait_s(self) -> float:
        """Return how long the next watch may wait for changes, in seconds.

        A node that has just become the reader requests a response at once, since its
        followers are about to read the store themselves. So does a reader after a
        failed call, as only a response shows that the store works.
        """
        now = self.loop.time()
        confirm_interval_s = self.node.roles.timings.confirm_interval_s
        if self.node.roles.is_reader(now):
            if self.outage_started_at is not None:
                return MIN_WATCH_WAIT_S
            age_s = now - self.exchange.up_to_date_at
            return max(MIN_WATCH_WAIT_S, confirm_interval_s - age_s)
        return (
            NON_READER_WATCH_WAIT_S
            if self.outage_started_at is None
            else confirm_interval_s
        )


def read_boot_time() -> float:
    """Return the time since boot in seconds, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
