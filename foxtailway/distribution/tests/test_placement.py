import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.distribution.placement import Placement, Role, compute_placement
from foxtailway.distribution.poller import PlatformPoller
from foxtailway.distribution.tests.support import make_host, make_settings
from foxtailway.distribution.topology import Topology
from foxtailway.model import BundleKind, Host

ZONE_REGIONS = {
    "accra-a": "accra",
    "accra-b": "accra",
    "kumasi-a": "kumasi",
    "kumasi-b": "kumasi",
    "tamale-a": "tamale",
}
FAN_OUT = 3
N_ROLE = 2


def make_topology(n_hosts: int, seed: int) -> Topology:
    random_source = Random(seed)
    hosts = [
        make_host(
            f"host-{random_source.getrandbits(32)}-{index}",
            zone=random_source.choice(sorted(ZONE_REGIONS)),
            address=f"127.1.{index // 250}.{index % 250}",
        )
        for index in range(n_hosts)
    ]
    return Topology(hosts=tuple(hosts), zone_regions=ZONE_REGIONS)


def place_host(host: Host, topology: Topology) -> Placement:
    return compute_placement(
        topology,
        settings=make_settings(
            host.host_id,
            zone=host.zone,
            region=ZONE_REGIONS[host.zone],
            fan_out=FAN_OUT,
            n_readers=N_ROLE,
            n_gateways=N_ROLE,
            n_heads=N_ROLE,
        ),
    )


class PlacementTest(unittest.TestCase):
    """Placements that nodes compute independently form trees without loops."""

    @settings(max_examples=30, deadline=None)
    @given(n_hosts=st.integers(1, 120), seed=st.integers(0, 99))
    def test_every_host_has_candidates_and_no_loop(
        self, n_hosts: int, seed: int
    ) -> None:
        topology = make_topology(n_hosts, seed)
        zones = {host.host_id: host.zone for host in topology.hosts}
        placements = {
            host.host_id: place_host(host, topology) for host in topology.hosts
        }
        levels: dict[str, int] = {}

        def compute_level(host_id: str, path: tuple[str, ...] = ()) -> int:
            self.assertNotIn(host_id, path)
            if host_id not in levels:
                parent_levels = [
                    compute_level(peer.host_id, (*path, host_id))
                    for peer in placements[host_id].candidates
                ]
                levels[host_id] = 1 + max(parent_levels, default=0)
            return levels[host_id]

        root_regions = []
        for host_id, placement in placements.items():
            compute_level(host_id)
            if not placement.candidates:
                root_regions.append(ZONE_REGIONS[zones[host_id]])
            if placement.role is Role.MEMBER:
                preferred = placement.candidates[0].host_id
                self.assertEqual(zones[preferred], zones[host_id])
        self.assertEqual(len(root_regions), len(set(root_regions)))
        if "accra" in root_regions:
            self.assertEqual(root_regions, ["accra"])

    @settings(max_examples=20, deadline=None)
    @given(n_hosts=st.integers(1, 200), seed=st.integers(0, 99))
    def test_no_host_is_preferred_by_more_than_its_fan_out(
        self, n_hosts: int, seed: int
    ) -> None:
        topology = make_topology(n_hosts, seed)
        n_children: dict[str, int] = {}
        ranks = set()
        for host in topology.hosts:
            placement = place_host(host, topology)
            ranks.add((placement.role, placement.fallback_rank))
            if placement.role is Role.MEMBER:
                preferred = placement.candidates[0].host_id
                n_children[preferred] = n_children.get(preferred, 0) + 1
        self.assertLessEqual(max(n_children.values(), default=0), FAN_OUT)
        self.assertEqual(len(ranks), n_hosts)

    def test_one_gateway_of_a_region_has_a_remote_parent(self) -> None:
        topology = make_topology(60, 1)
        n_crossings = 0
        for host in topology.hosts:
            placement = place_host(host, topology)
            if not placement.candidates or ZONE_REGIONS[host.zone] != "kumasi":
                continue
            preferred = placement.candidates[0].host_id
            zones = {peer.host_id: peer.zone for peer in topology.hosts}
            n_crossings += ZONE_REGIONS[zones[preferred]] != "kumasi"
        self.assertEqual(n_crossings, 1)

    def test_a_host_that_is_not_listed_yet_is_a_member(self) -> None:
        topology = make_topology(60, 1)
        own = make_host("new-host", zone="kumasi-a")
        placement = place_host(own, topology)
        self.assertIs(placement.role, Role.MEMBER)
        self.assertGreater(len(placement.candidates), 2)


class FallbackBudgetTest(unittest.TestCase):
    """Fallback collections stay within the call budget of the platform.

    Guards against an overload when all hosts lose their parents at once.
    """

    def count_calls(self, n_hosts: int, duration_s: int) -> list[float]:
        n_documents = 18
        calls = [0.0] * duration_s
        for rank in range(n_hosts):
            poller = PlatformPoller(
                settings=make_settings(f"host-{rank}"), random_source=Random(rank)
            )
            poller.is_reader = False
            poller.rank = rank
            poller.n_hosts = n_hosts
            poller.n_documents = n_documents
            poller.schedule_fallback(now=0.0, grace_s=0.0)
            while poller.next_deadline_s() < duration_s:
                now = poller.next_deadline_s()
                for collection in poller.tick(now=now):
                    poller.finish(collection.kind, is_ok=True, now=now)
                calls[int(now)] += n_documents + len(BundleKind)
        return calls

    def test_the_herd_stays_within_the_budget(self) -> None:
        window_s = 10
        calls = self.count_calls(2000, 100)
        budget = make_settings("host").platform.calls_per_s * window_s
        for start in range(0, 100, window_s):
            n_calls = sum(calls[start : start + window_s])
            self.assertLessEqual(n_calls, budget, start)
            self.assertGreater(n_calls, budget * 0.2, start)
