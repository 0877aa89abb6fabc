import asyncio
import json
import zlib
from contextlib import suppress
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from foxtailway.platform import feed as feed_module
from foxtailway.platform import store as store_module
from foxtailway.platform.feed import StoreFeed
from foxtailway.platform.store import StoreClient, StoreItem, StorePage
from foxtailway.platform.tests.documents import make_configuration, make_entry
from foxtailway.platform.tests.store_stand_in import StoreStandIn
from foxtailway.sidecar.http_message import Answer
from foxtailway.sidecar.peer_message import PeerItem, PeerUpdate
from foxtailway.sidecar.tests.support import PATIENCE_S, make_log, wait_until
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.feeding import FeedRoles
from foxtailway.traffic.membership import Membership

DRAINING = {"state": "draining", "sequence": 9, "cold_remaining": "0ms"}


class RecordingNode:
    def __init__(self) -> None:
        self.membership = Membership()
        self.log = make_log()
        self.versions: list[int] = []
        self.n_changes = 0
        self.roles = FeedRoles(address="10.0.0.9")
        self.updates: list[PeerUpdate] = []
        self.update_handler = None

    def send_update(self, update: PeerUpdate) -> None:
        self.updates.append(update)

    def apply(self, configuration: TrafficConfiguration) -> None:
        self.versions.append(configuration.version)

    def membership_changed(self) -> None:
        self.n_changes += 1


class StoreFeedTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for name in (
            "COALESCE_S",
            "FOLLOW_INTERVAL_S",
            "FIRST_BACKOFF_S",
            "MAX_BACKOFF_S",
        ):
            patcher = patch.object(feed_module, name, 0.0)
            patcher.start()
            self.addCleanup(patcher.stop)
        for name in ("CONNECT_TIMEOUT_S", "READ_TIMEOUT_S", "WATCH_MARGIN_S"):
            patience = patch.object(store_module, name, PATIENCE_S)
            patience.start()
            self.addCleanup(patience.stop)
        self.store = StoreStandIn()
        endpoint = await self.store.start()
        self.addCleanup(self.store.listener.close)
        self.store.put("op/config", make_configuration(3))
        for number in range(5):
            self.store.put(f"servers/u-{number}", make_entry())
        self.node = RecordingNode()
        self.client = StoreClient(endpoint=endpoint)
        self.addCleanup(self.client.close)
        self.feed = StoreFeed(
            client=self.client, node=self.node, random_source=Random(1)
        )
        self.feed.backoff_s = 0.0

    async def start(self) -> None:
        task = asyncio.create_task(self.feed.run())
        self.addAsyncCleanup(self.stop, task)
        await wait_until(lambda: self.store.calls[-1:] == ["/v1/kv-watch"])

    async def stop(self, task: asyncio.Task) -> None:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    @property
    def n_ready(self) -> int:
        return len(self.node.membership.list_ready("records"))

    async def test_reader_passes_on_what_the_store_answered(self) -> None:
        self.node.roles.readers = ("10.0.0.9",)
        self.node.roles.followers = ("10.0.0.8",)
        await self.start()
        self.store.put("op/config", make_configuration(4))
        self.store.put("op/config", make_configuration(5))
        self.store.remove("servers/u-1")
        await wait_until(lambda: self.n_ready == 4)
        follower = StoreFeed(
            client=self.client, node=RecordingNode(), random_source=Random(1)
        )
        follower.revision = self.node.updates[0].base_revision
        for update in self.node.updates:
            follower.receive(update)
        self.assertEqual(follower.node.versions[-1], 5)
        self.assertEqual(follower.revision, self.feed.revision)
        self.assertTrue(follower.node.roles.is_fed(follower.loop.time()))

    async def test_update_behind_a_gap_is_not_taken(self) -> None:
        self.feed.revision = 5
        self.feed.receive(PeerUpdate(base_revision=6, revision=9, age_ms=0, items=()))
        self.assertEqual(self.feed.revision, 5)
        self.assertFalse(self.node.roles.is_fed(self.feed.loop.time()))

    async def test_change_that_is_known_is_not_taken_again(self) -> None:
        self.feed.revision = 8
        content = zlib.compress(make_configuration(4))
        item = PeerItem(key="op/config", revision=8, is_removed=False, content=content)
        self.feed.receive(
            PeerUpdate(base_revision=6, revision=9, age_ms=0, items=(item,))
        )
        self.assertEqual(self.node.versions, [])
        self.assertEqual(self.feed.revision, 9)

    async def test_answer_that_an_update_overtook_undoes_nothing(self) -> None:
        await self.start()
        removed = StoreItem(
            key="servers/u-1", revision=90, content=None, is_removed=True
        )
        overtaken = StorePage(items=(removed,), revision=90, has_more=False)

        async def watch(_prefix: str, _after: int, _wait_s: float) -> StorePage:
            content = zlib.compress(make_entry())
            item = PeerItem(
                key="servers/u-1", revision=95, is_removed=False, content=content
            )
            base = self.feed.revision
            self.feed.receive(
                PeerUpdate(base_revision=base, revision=95, age_ms=0, items=(item,))
            )
            return overtaken

        self.client.watch = watch
        await self.feed.watch_once()
        self.assertEqual(self.n_ready, 5)
        self.assertEqual(self.feed.revision, 95)

    async def test_fed_node_leaves_the_store_alone_until_it_is_silent(self) -> None:
        await self.start()
        self.node.roles.confirm(self.feed.loop.time() + 1e6)
        await wait_until(lambda: not self.feed.client.connection.exchange)
        n_calls = len(self.store.calls)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.store.calls), n_calls)
        self.node.roles.confirmed_at = float("-inf")
        await wait_until(lambda: len(self.store.calls) > n_calls)

    async def test_all_pages_are_read(self) -> None:
        await self.start()
        self.assertEqual(self.n_ready, 5)
        self.assertEqual(self.node.versions, [3])

    async def test_changes_are_followed(self) -> None:
        await self.start()
        self.store.put("servers/u-1", make_entry(status=DRAINING))
        await wait_until(lambda: self.n_ready == 4)
        self.store.remove("servers/u-2")
        await wait_until(lambda: self.n_ready == 3)
        self.store.put("op/config", make_configuration(7))
        await wait_until(lambda: self.node.versions == [3, 7])

    async def test_only_the_last_of_many_versions_is_taken(self) -> None:
        await self.start()
        for version in range(4, 20):
            self.store.put("op/config", make_configuration(version))
        await wait_until(lambda: self.node.versions[-1] == 19)
        self.assertLess(len(self.node.versions), 5)

    async def test_unusable_version_leaves_the_one_before(self) -> None:
        await self.start()
        self.store.put("op/config", make_configuration(4))
        self.store.put("op/config", b"{")
        await wait_until(lambda: self.node.versions == [3, 4])

    async def test_foreign_entry_changes_nothing_else(self) -> None:
        await self.start()
        self.store.put("servers/foreign", b"\x00")
        self.store.put("servers/u-7", make_entry())
        await wait_until(lambda: self.n_ready == 6)
        self.assertNotIn("foreign", self.node.membership.upstreams)

    async def test_lost_history_leads_to_a_new_listing(self) -> None:
        await self.start()
        self.store.cut_watches()
        self.store.remove("servers/u-1")
        self.store.compact()
        await wait_until(lambda: self.store.calls.count("/v1/kv-range") > 2)
        await wait_until(lambda: "u-1" in self.node.membership.lapsed)

    async def test_feed_survives_refusals(self) -> None:
        await self.start()
        for status in (503, 429):
            self.store.status = status
            self.store.cut_watches()
            n_calls = len(self.store.calls)
            await wait_until(lambda n=n_calls: len(self.store.calls) > n + 3)
            self.assertEqual(self.n_ready, 5)
            self.store.status = 200
            await wait_until(lambda: self.feed.lost_at is None)

    async def test_feed_survives_an_answer_of_another_form(self) -> None:
        await self.start()
        body = {"message": "no events"}
        self.store.encode = lambda **_fields: Answer(
            status=200, body=json.dumps(body).encode()
        )
        self.store.cut_watches()
        await wait_until(lambda: self.feed.lost_at is not None)
        del self.store.encode
        await wait_until(lambda: self.feed.lost_at is None)

    async def test_long_outage_ends_with_a_listing(self) -> None:
        await self.start()
        self.store.status = 503
        self.store.cut_watches()
        await wait_until(lambda: self.feed.lost_at is not None)
        self.feed.lost_at -= 2 * feed_module.MAX_CATCH_UP_S
        await wait_until(lambda: self.feed.revision is None)
        self.store.put("op/config", make_configuration(9))
        self.store.status = 200
        await wait_until(lambda: self.node.versions[-1] == 9)
