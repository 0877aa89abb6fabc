from collections.abc import Callable
from unittest import IsolatedAsyncioTestCase

from foxtailway.sidecar.configuration_history import N_RECENT_CONFIGURATIONS
from foxtailway.sidecar.peer_message import (
    PeerListingRequest,
)
from foxtailway.sidecar.tests.support import make_log, make_update
from foxtailway.sidecar.tests.update_network import (
    ADDRESSES,
    N_HOSTS,
    UPSTREAMS,
    Network,
    Node,
    apply_without_broadcast,
    make_change,
    make_configuration,
)
from foxtailway.sidecar.update_content import (
    MembershipChange,
    UpdateContentError,
    pack,
    unpack,
)
from foxtailway.sidecar.update_exchange import (
    INITIAL_LISTING_DELAY_S,
    MIN_LISTING_INTERVAL_S,
    UpdateExchange,
)
from foxtailway.traffic.configuration_change import ConfigurationChange
from foxtailway.traffic.membership import (
    REGISTRATION_GRACE_S,
    Membership,
    UpstreamState,
)
from foxtailway.traffic.registry_access import RegistryAccess
from foxtailway.traffic.tests.builders import make_upstream


class UpdateExchangeTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network()
        self.nodes = list(self.network.nodes.values())
        for node in self.nodes:
            apply_without_broadcast(
                node, make_change(None, 10, upstreams=UPSTREAMS, version=1)
            )
            node.roles.record_listing(node.exchange.loop.time())
        self.reader = next(node for node in self.nodes if node.roles.rank == 0)
        self.followers = [node for node in self.nodes if node is not self.reader]

    def assert_all(self, read: Callable[[Node], object], expected: object) -> None:
        self.assertEqual({read(node) for node in self.nodes}, {expected})

    async def test_change_reaches_every_node_without_a_request(self) -> None:
        leaving = make_upstream("u-3", state=UpstreamState.DRAINING, sequence=2)
        self.reader.exchange.publish_change(
            make_change(10, 14, upstreams=(leaving,), removed=("u-4",), version=4), 0.0
        )
        self.assert_all(lambda node: node.exchange.version, 4)
        self.assert_all(lambda node: node.exchange.revision, 14)
        self.assert_all(lambda node: node.membership.is_leaving("u-3"), True)
        self.assert_all(lambda node: "u-4" in node.membership.upstreams, False)
        self.assertEqual(self.network.requests, [])

    async def test_unchanged_routes_are_not_sent(self) -> None:
        self.reader.exchange.publish_change(make_change(10, 11, version=2), 0.0)
        changed = self.network.n_bytes
        self.network.n_bytes = 0
        for node in self.followers:
            self.reader.exchange.send_listing(node.address)
        self.assertLess(2 * changed, self.network.n_bytes)

    async def test_node_that_missed_an_update_requests_a_listing(self) -> None:
        outdated_node = self.followers[0]
        outdated_node.exchange.listing_requested_at -= INITIAL_LISTING_DELAY_S
        self.network.unreachable.add(outdated_node.address)
        self.reader.exchange.publish_change(
            make_change(10, 11, removed=("u-4",), version=2), 0.0
        )
        self.network.unreachable.clear()
        self.reader.exchange.publish_change(make_change(11, 12, version=3), 0.0)
        self.assertEqual(self.network.requests, [outdated_node.address])
        self.assertEqual(outdated_node.exchange.version, 3)
        self.assertNotIn("u-4", outdated_node.membership.upstreams)

    async def test_listing_has_only_routes_that_changed_since_a_recent_version(
        self,
    ) -> None:
        """Many nodes that missed versions must not exceed the link of the reader."""
        for revision in range(11, 14):
            change = make_change(revision - 1, revision, version=revision)
            apply_without_broadcast(self.reader, change)
        packed = self.reader.exchange.history.pack_change_since(1)
        (route,) = unpack(packed, ConfigurationChange).routes
        self.assertEqual(route.prefix, "/only-13/")
        self.reader.exchange.send_listing(self.followers[0].address, 1)
        self.assertEqual(
            self.followers[0].exchange.configuration, make_configuration(13)
        )

    async def test_listing_for_a_forgotten_version_has_all_routes(self) -> None:
        for revision in range(11, 11 + N_RECENT_CONFIGURATIONS):
            change = make_change(revision - 1, revision, version=revision)
            apply_without_broadcast(self.reader, change)
        self.assertLessEqual(
            len(self.reader.exchange.history.recent), N_RECENT_CONFIGURATIONS
        )
        self.reader.exchange.send_listing(self.followers[0].address, 1)
        self.assertEqual(
            self.followers[0].exchange.configuration,
            self.reader.exchange.configuration,
        )

    async def test_new_node_gets_everything_from_a_reader_without_a_store(self) -> None:
        new_node = Node(self.followers[0].address, self.network)
        self.network.nodes[new_node.address] = new_node
        self.reader.exchange.broadcast_age()
        self.assertIsNone(new_node.exchange.revision)
        new_node.exchange.listing_requested_at -= INITIAL_LISTING_DELAY_S
        self.reader.exchange.broadcast_age()
        self.assertEqual(new_node.exchange.version, 1)
        self.assertEqual(len(new_node.membership.upstreams), N_HOSTS)

    async def test_seed_answers_as_soon_as_it_has_a_configuration(self) -> None:
        """Load pattern: all hosts lose power and start at once."""
        seed, new_node = (Node(address, self.network) for address in ADDRESSES[:2])
        registry = make_change(None, 20, upstreams=UPSTREAMS)
        for node in (seed, new_node):
            self.network.nodes[node.address] = node
            node.roles.record_listing(node.exchange.loop.time())
            node.exchange.publish_change(registry, 0.0)
        new_node.exchange.request_first_listing(seed.address)
        self.assertEqual(new_node.applied, [])
        apply_without_broadcast(seed, make_change(20, 20, version=7))
        self.assertEqual(new_node.applied, [7])
        self.assertEqual(new_node.exchange.configuration, make_configuration(7))

    async def test_first_listing_of_a_reader_is_sent_on_request_only(self) -> None:
        """Load pattern: all hosts start at once, and many are readers for a moment."""
        restarted = Node(self.reader.address, self.network)
        self.network.nodes[restarted.address] = restarted
        behind = next(node for node in self.nodes if node is not self.reader)
        behind.exchange.listing_requested_at = float("-inf")
        behind.exchange.revision = 9
        restarted.roles.preferred_confirmed_at = float("-inf")
        restarted.exchange.publish_change(
            make_change(None, 10, upstreams=UPSTREAMS, version=1), age_s=0.0
        )
        self.assertEqual(self.network.requests, [behind.address])
        self.assertEqual(behind.exchange.revision, 10)
        # Only the node that is behind receives the upstreams, and none the routes.
        listing = pack(MembershipChange(upstreams=UPSTREAMS))
        self.assertEqual(self.network.n_bytes, len(listing))
        self.assertGreaterEqual(len(self.network.deliveries), N_HOSTS - 1)

    async def test_restarted_node_takes_nothing_back_from_a_reader_behind(self) -> None:
        """An upstream that has left is not used again after a restart."""
        restarted = Node(self.nodes[-1].address, self.network)
        self.network.nodes[restarted.address] = restarted
        removed, *others = UPSTREAMS
        apply_without_broadcast(
            restarted, make_change(None, 20, upstreams=tuple(others), version=2)
        )
        self.reader.exchange.send_listing(restarted.address)
        apply_without_broadcast(self.reader, make_change(10, 15))
        self.reader.exchange.send_listing(restarted.address)
        self.assertNotIn(removed.upstream_id, restarted.membership.upstreams)
        self.assertEqual(restarted.applied, [2])

    async def test_node_without_a_store_follows_the_newest_reader(self) -> None:
        """A listing by a reader behind is replaced as soon as a newer one arrives."""
        restarted = Node(self.nodes[-1].address, self.network)
        self.network.nodes[restarted.address] = restarted
        self.reader.exchange.send_listing(restarted.address)
        self.assertIn("u-0", restarted.membership.upstreams)
        newer = self.nodes[1] if self.nodes[0] is self.reader else self.nodes[0]
        apply_without_broadcast(newer, make_change(10, 20, removed=("u-0",), version=2))
        newer.exchange.send_listing(restarted.address)
        self.reader.exchange.send_listing(restarted.address)
        self.assertNotIn("u-0", restarted.membership.upstreams)
        self.assertEqual(restarted.applied, [1, 2])

    async def test_requests_for_a_listing_are_rate_limited(self) -> None:
        exchange = UpdateExchange(
            address="10.0.0.99",
            membership=Membership(),
            access=RegistryAccess(),
            roles=self.reader.roles,
            peers=self.reader,
            apply=lambda _configuration: None,
            on_membership_change=lambda: None,
            log=make_log(),
        )
        requests: list[PeerListingRequest] = []
        update = self.reader.exchange.make_update(base_revision=10)
        exchange.listing_requested_at -= INITIAL_LISTING_DELAY_S
        for _ in range(5):
            exchange.receive_update(update, requests.append)
        self.assertEqual(len(requests), 1)
        exchange.listing_requested_at -= MIN_LISTING_INTERVAL_S
        exchange.receive_update(update, requests.append)
        self.assertEqual(len(requests), 2)

    async def test_older_version_is_never_applied(self) -> None:
        apply_without_broadcast(self.followers[0], make_change(10, 15, version=9))
        self.reader.exchange.publish_change(make_change(10, 14, version=4), 0.0)
        self.assertEqual(self.followers[0].applied, [1, 9])
        self.assertEqual(self.followers[1].applied, [1, 4])

    async def test_listing_that_an_update_overtook_reverts_no_upstream(self) -> None:
        """A server that had left was in use again after a listing that took seconds.

        The update of a reader came while the node still listed the store.
        """
        follower = self.followers[0]
        added = make_upstream("u-9", address=ADDRESSES[1])
        self.reader.exchange.publish_change(
            make_change(10, 14, upstreams=(added,), removed=("u-4",)), 0.0
        )
        follower.exchange.publish_change(
            make_change(None, 12, upstreams=UPSTREAMS, version=2), 0.0
        )
        self.assertNotIn("u-4", follower.membership.upstreams)
        self.assertIn("u-9", follower.membership.upstreams)
        self.assertEqual(follower.exchange.version, 2)
        self.assertEqual(follower.exchange.revision, 14)

    async def test_reader_sends_no_listing_that_an_update_overtook(self) -> None:
        left = self.network.nodes[ADDRESSES[4]]
        followers = [node for node in self.followers if node is not left]
        followers[0].exchange.listing_requested_at -= INITIAL_LISTING_DELAY_S
        change = make_change(10, 14, removed=("u-4",))
        for node in (self.reader, *followers[1:]):
            apply_without_broadcast(node, change)
        self.reader.exchange.publish_change(
            make_change(None, 12, upstreams=UPSTREAMS, version=2), 0.0
        )
        for node in followers:
            self.assertEqual(node.exchange.version, 2)
            self.assertEqual(node.exchange.revision, 14)
            self.assertNotIn("u-4", node.membership.upstreams)

    async def test_outdated_update_reverts_nothing(self) -> None:
        follower = self.followers[0]
        registered_again = make_upstream("u-4", start_time_ms=2_000)
        apply_without_broadcast(
            follower, make_change(10, 20, upstreams=(registered_again,))
        )
        self.reader.exchange.publish_change(make_change(10, 14, removed=("u-4",)), 0.0)
        self.assertIn("u-4", follower.membership.upstreams)
        self.assertEqual(follower.exchange.revision, 20)

    async def test_update_of_an_outdated_reader_confirms_nothing(self) -> None:
        follower = self.followers[0]
        confirmed_at = follower.roles.confirmed_at
        self.reader.exchange.up_to_date_at -= 60.0
        self.reader.exchange.broadcast_age()
        self.assertEqual(follower.roles.confirmed_at, confirmed_at)

    async def test_entries_removed_after_an_outage_are_kept_for_a_while(self) -> None:
        now = self.reader.exchange.loop.time()
        self.reader.exchange.access.record_gap(now - 10.0, now)
        self.reader.exchange.publish_change(make_change(10, 11, removed=("u-4",)), 0.0)
        self.assert_all(lambda node: "u-4" in node.membership.expired, True)

    async def test_upstream_that_left_after_a_failed_call_is_removed(self) -> None:
        """One broken connection of the reader is no outage of the store.

        All sidecars kept an upstream that had left beyond its drain.
        """
        now = self.reader.exchange.loop.time()
        self.reader.exchange.access.record_gap(now - 0.5, now)
        self.reader.exchange.publish_change(make_change(10, 11, removed=("u-4",)), 0.0)
        self.assert_all(lambda node: "u-4" in node.membership.upstreams, False)

    async def test_removal_is_judged_by_the_node_that_read_it(self) -> None:
        """The outage of one node doesn't apply to what another one reads."""
        now = self.reader.exchange.loop.time()
        for node in self.followers:
            node.exchange.access.record_gap(now - 10.0, now)
        self.reader.exchange.publish_change(make_change(10, 11, removed=("u-4",)), 0.0)
        self.assert_all(lambda node: "u-4" in node.membership.upstreams, False)

    async def test_gap_of_one_reader_is_no_outage_while_another_one_reads(self) -> None:
        """A reader that had been cut off kept an upstream in use that had left."""
        node = self.followers[0]
        removal = make_update(
            base_revision=10,
            revision=11,
            version=1,
            failure_age_ms=0,
            members=pack(MembershipChange(removed=("u-4",))),
        )
        for silent_s, is_kept in ((5.0, True), (0.3, False)):
            confirmation = make_update(base_revision=10, revision=10, version=1)
            node.exchange.receive_update(confirmation, self.network.requests.append)
            node.exchange.up_to_date_at -= silent_s
            node.exchange.receive_update(removal, self.network.requests.append)
            self.assertEqual("u-4" in node.membership.upstreams, is_kept)
            node.exchange.revision = 10
            node.exchange.access.unseen_until = float("-inf")
            node.exchange.access.reported_at = float("-inf")

    async def test_updates_after_an_outage_do_not_extend_the_recovery_period(
        self,
    ) -> None:
        ended_at = self.reader.exchange.loop.time() - REGISTRATION_GRACE_S + 0.5
        self.reader.exchange.access.record_gap(ended_at - 10.0, ended_at)
        self.reader.exchange.publish_change(make_change(10, 11), 0.0)
        now = self.reader.exchange.loop.time()
        self.assert_all(lambda node: node.membership.is_recovering(now), True)
        self.assert_all(lambda node: node.membership.is_recovering(now + 1.0), False)

    async def test_expired_entry_is_not_sent_in_a_listing(self) -> None:
        now = self.reader.exchange.loop.time()
        self.reader.exchange.access.record_gap(now - 10.0, now)
        self.reader.exchange.publish_change(make_change(10, 11, removed=("u-4",)), 0.0)
        new_node = Node(self.followers[0].address, self.network)
        self.network.nodes[new_node.address] = new_node
        self.reader.exchange.send_listing(new_node.address)
        self.assertNotIn("u-4", new_node.membership.upstreams)

    async def test_upstream_without_an_encoding_stops_no_update(self) -> None:
        """One upstream that can't be packed must not stop the updates of others."""
        odd = make_upstream("odd", address=ADDRESSES[0], sequence=10**20)
        sound = make_upstream("u-9", address=ADDRESSES[1])
        change = make_change(10, 11, upstreams=(odd, sound), version=2)
        self.reader.exchange.publish_change(change, 0.0)
        for follower in self.followers:
            self.assertIn("u-9", follower.membership.upstreams)
            self.assertEqual(follower.exchange.version, 2)
        self.assertEqual(self.reader.exchange.n_unsent_upstreams, 1)

    async def test_malformed_content_changes_nothing(self) -> None:
        follower = self.followers[0]
        update = make_update(
            reader="10.0.0.77",
            base_revision=10,
            revision=12,
            version=2,
            change=b"\x00",
        )
        follower.exchange.receive_update(update, lambda _request: None)
        self.assertEqual(follower.exchange.revision, 10)
        for data in (b"", b"\x00", b"x" * 40):
            with self.assertRaises(UpdateContentError):
                unpack(data, MembershipChange)
        with self.assertRaises(UpdateContentError):
            unpack(pack(MembershipChange()), ConfigurationChange)


class RegionsTest(IsolatedAsyncioTestCase):
    """Replication between two regions, with the store in the east."""

    async def asyncSetUp(self) -> None:
        self.network = Network()
        west = [f"10.9.0.{number}" for number in range(N_HOSTS)]
        for address in west:
            self.network.nodes[address] = Node(address, self.network, "zone-w")
        upstreams = UPSTREAMS + tuple(
            make_upstream(f"w-{number}", address=address, zone="zone-w")
            for number, address in enumerate(west)
        )
        for node in self.network.nodes.values():
            apply_without_broadcast(
                node, make_change(None, 10, upstreams=upstreams, version=1)
            )
            node.roles.record_listing(node.exchange.loop.time())
            node.roles.store_delay_s = 0.026 if node.zone == "zone-w" else 0.003
        self.readers = {
            node.zone: node
            for node in self.network.nodes.values()
            if node.roles.rank == 0
        }
        self.west = [
            node for node in self.network.nodes.values() if node.zone == "zone-w"
        ]

    def cross_region_deliveries(self) -> list[tuple[str, str]]:
        return [
            pair
            for pair in self.network.deliveries
            if pair[0].startswith("10.0.") != pair[1].startswith("10.0.")
        ]

    async def test_change_crosses_the_link_once(self) -> None:
        for reader in self.readers.values():
            reader.exchange.announce_reader()
        self.readers["zone-a"].exchange.publish_change(
            make_change(10, 11, version=2), 0.0
        )
        self.assertEqual({node.exchange.version for node in self.west}, {2})
        self.assertEqual(len(self.cross_region_deliveries()), 1)
        now = self.west[0].exchange.loop.time()
        self.assertTrue(self.readers["zone-w"].roles.is_following(now))
        self.assertEqual(self.network.requests, [])

    async def test_farther_reader_sends_nothing_to_other_regions(self) -> None:
        for reader in self.readers.values():
            reader.exchange.announce_reader()
        self.readers["zone-w"].exchange.publish_change(
            make_change(10, 11, version=2), 0.0
        )
        self.assertEqual(self.cross_region_deliveries(), [])

    async def test_reader_without_remote_updates_reads_the_store(self) -> None:
        now = self.west[0].exchange.loop.time()
        self.assertFalse(self.readers["zone-w"].roles.is_following(now))

    async def test_reader_without_recent_announcement_gets_no_updates(self) -> None:
        self.readers["zone-w"].exchange.announce_reader()
        roles = self.readers["zone-a"].roles
        now = self.west[0].exchange.loop.time()
        self.assertEqual(len(roles.list_followers(now)), N_HOSTS)
        self.assertEqual(len(roles.list_followers(now + 100.0)), N_HOSTS - 1)

    async def test_new_reader_learns_of_the_far_reader_at_once(self) -> None:
        """A change of the reader must not leave the other region without updates.

        The far reader's periodic announcement may be seconds away.
        """
        far = self.readers["zone-w"]
        new_reader = next(
            node
            for node in self.network.nodes.values()
            if node.zone == "zone-a" and node.roles.rank == 1
        )
        new_reader.roles.preferred_confirmed_at = float("-inf")
        new_reader.exchange.announce_reader()
        now = new_reader.exchange.loop.time()
        self.assertIn(far.address, new_reader.roles.list_followers(now))

    async def test_announcements_of_two_readers_end(self) -> None:
        for reader in self.readers.values():
            reader.exchange.announce_reader()
        for zone, other in (("zone-a", "zone-w"), ("zone-w", "zone-a")):
            (known,) = self.readers[zone].roles.remote_readers.values()
            self.assertEqual(known.address, self.readers[other].address)
