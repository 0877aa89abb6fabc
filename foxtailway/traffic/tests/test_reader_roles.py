from collections import Counter
from dataclasses import replace
from unittest import TestCase

from foxtailway.traffic.membership import Upstream, UpstreamState
from foxtailway.traffic.reader_roles import HostCapacity, ReaderRoles, ReaderTimings
from foxtailway.traffic.tests.builders import make_upstream

REGIONS = {"zone-a": "east", "zone-b": "east", "zone-c": "west"}
N_EAST = 8
UPSTREAMS = [
    make_upstream(
        f"u-{number}", address=f"10.0.0.{number}", zone=f"zone-{'ab'[number % 2]}"
    )
    for number in range(N_EAST)
] + [make_upstream("u-west", address="10.0.0.50", zone="zone-c")]
PREFERRED_CAPACITY = HostCapacity(link_mbps=100.0, n_cores=1.0)
TIMINGS = ReaderTimings(apply_s=2.0)


def make_roles(
    address: str, capacity: HostCapacity = PREFERRED_CAPACITY
) -> ReaderRoles:
    roles = ReaderRoles(address=address, capacity=capacity, timings=TIMINGS)
    zones = {upstream.address: upstream.zone for upstream in UPSTREAMS}
    roles.update(UPSTREAMS, zones.get(address, "zone-a"), REGIONS, 0.0)
    roles.record_listing(0.0)
    return roles


def make_region() -> list[ReaderRoles]:
    return [make_roles(f"10.0.0.{number}") for number in range(N_EAST)]


class ReaderRolesTest(TestCase):
    def test_nodes_of_a_region_agree_on_one_reader(self) -> None:
        region = make_region()
        self.assertEqual({roles.rank for roles in region}, set(range(N_EAST)))
        readers = [roles for roles in region if roles.is_reader(0.1)]
        self.assertEqual([roles.rank for roles in readers], [0])

    def test_every_other_host_of_the_region_is_a_follower(self) -> None:
        reader = next(roles for roles in make_region() if roles.is_reader(0.1))
        others = {f"10.0.0.{number}" for number in range(N_EAST)} - {reader.address}
        self.assertEqual(set(reader.peers), others)

    def test_few_nodes_of_a_region_read_their_first_configuration(self) -> None:
        """Load pattern: all hosts lose power and start at once."""
        addresses = [f"10.0.{number}.1" for number in range(100)]
        upstreams = [make_upstream(f"u-{item}", address=item) for item in addresses]
        seeds = Counter()
        n_seeds = 0
        for address in addresses:
            roles = ReaderRoles(
                address=address, capacity=PREFERRED_CAPACITY, timings=TIMINGS
            )
            roles.update(upstreams, "zone-a", REGIONS, 0.0)
            n_seeds += not roles.seeds
            seeds.update(roles.seeds[:1])
        self.assertEqual(n_seeds, 10)
        self.assertEqual(len(seeds), 10)
        self.assertLess(max(seeds.values()), 25)

    def test_only_host_of_a_region_is_the_reader(self) -> None:
        roles = make_roles("10.0.0.50")
        self.assertTrue(roles.is_reader(0.1))
        self.assertEqual(roles.peers, ())

    def test_next_node_becomes_reader_when_the_reader_is_silent(self) -> None:
        region = {roles.rank: roles for roles in make_region()}
        now = region[1].compute_fail_over_delay_s()
        self.assertLess(now, region[2].compute_fail_over_delay_s())
        self.assertTrue(region[1].is_reader(now))
        self.assertFalse(region[2].is_reader(now))

    def test_few_nodes_take_over_before_the_first_has_read_the_store(self) -> None:
        """A region that lost its reader must not read the store as one herd.

        The responses to all nodes together exceed the link between two regions.
        """
        read_s = 0.05 * TIMINGS.apply_s
        for n_nodes in (20, 200, 2_000):
            members = [
                make_upstream(f"u-{number}", address=f"10.{number // 250}.0.{number}")
                for number in range(n_nodes)
            ]
            addresses = [member.address for member in members]
            roles = make_roles(addresses[0])
            roles.peers = tuple(addresses[1:])
            delays = []
            for rank in range(1, n_nodes):
                roles.rank = rank
                delays.append(roles.compute_fail_over_delay_s())
            n_readers = sum(delay <= delays[0] + read_s for delay in delays)
            self.assertLess(n_readers, 10)
            self.assertLess(max(delays), TIMINGS.follower_timeout_s)

    def test_reader_becomes_follower_when_a_lower_rank_returns(self) -> None:
        second = next(roles for roles in make_region() if roles.rank == 1)
        second.record_confirmation(9.0, "10.0.0.9", 2)
        self.assertTrue(second.is_reader(10.0))
        second.record_confirmation(10.0, "10.0.0.9", 0)
        self.assertFalse(second.is_reader(10.1))

    def test_host_with_low_capacity_reads_only_without_another(self) -> None:
        for capacity in (
            HostCapacity(link_mbps=3.5, n_cores=2.0),
            HostCapacity(link_mbps=70.0, n_cores=0.4),
        ):
            roles = make_roles("10.0.0.1", capacity)
            self.assertGreaterEqual(roles.rank, N_EAST)
            self.assertTrue(roles.is_reader(100.0))
            roles.record_confirmation(100.0, "10.0.0.9", N_EAST - 1)
            self.assertFalse(roles.is_reader(100.1))

    def test_fail_over_precedes_the_follower_timeout(self) -> None:
        for apply_s in (0.5, 2.0, 10.0):
            timings = ReaderTimings(apply_s=apply_s)
            ages = [
                timings.confirm_interval_s,
                timings.fail_over_s(0.0),
                timings.fail_over_s(1.0),
            ]
            self.assertEqual(ages, sorted(ages))
            self.assertLess(ages[-1], timings.follower_timeout_s)
            self.assertLess(timings.follower_timeout_s, apply_s)

    def test_follower_reads_the_store_after_its_timeout(self) -> None:
        follower = make_region()[0]
        follower.record_confirmation(10.0, "10.0.0.77", 0)
        self.assertTrue(follower.is_following(10.1))
        self.assertFalse(follower.is_following(10.01 + TIMINGS.follower_timeout_s))

    def test_unregistered_host_is_not_a_reader(self) -> None:
        roles = make_roles("10.0.0.99")
        self.assertFalse(roles.is_reader(100.0))
        self.assertTrue(roles.is_following(0.1))
        self.assertFalse(roles.is_following(100.0))

    def check_hand_over(self, members: list[Upstream]) -> None:
        """Check that the first node in rank hands over to the second one."""
        first = next(roles for roles in make_region() if roles.rank == 0)
        second = next(roles for roles in make_region() if roles.rank == 1)
        self.assertTrue(first.is_reader(49.0))
        first.update(members, "zone-a", REGIONS, 49.0)
        self.assertLess(second.rank, first.rank)
        self.assertTrue(first.is_reader(50.0))
        second.record_confirmation(50.0, first.address, first.rank)
        self.assertTrue(second.is_reader(50.1))
        first.record_confirmation(50.2, second.address, second.rank)
        self.assertFalse(first.is_reader(50.3))

    def test_reader_whose_upstream_drains_hands_over(self) -> None:
        address = next(roles for roles in make_region() if roles.rank == 0).address
        self.check_hand_over(
            [
                replace(upstream, state=UpstreamState.DRAINING)
                if upstream.address == address
                else upstream
                for upstream in UPSTREAMS
            ]
        )

    def test_reader_whose_upstream_is_gone_hands_over(self) -> None:
        address = next(roles for roles in make_region() if roles.rank == 0).address
        self.check_hand_over(
            [upstream for upstream in UPSTREAMS if upstream.address != address]
        )
