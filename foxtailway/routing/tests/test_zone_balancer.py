import unittest
from collections import Counter
from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.model import Host
from foxtailway.routing import CallObservation, ObservationKind, ZoneAwareBalancer
from foxtailway.routing.tests.builders import make_cluster, make_host

ZONE_REGIONS = {"accra-a": "accra", "accra-b": "accra", "kumasi-a": "kumasi"}
ZONES = list(ZONE_REGIONS)
NO_HOSTS: frozenset[str] = frozenset()


def make_hosts(n_hosts: int, zone: str = "accra-a") -> tuple[Host, ...]:
    return tuple(make_host(f"{zone}-{index}", zone=zone) for index in range(n_hosts))


class EjectionReplay:
    """Reference that computes the ejections of one endpoint from its history."""

    def __init__(self) -> None:
        self.ejected_until = 0.0
        self.durations: list[float] = []
        self.start_ratio = 0.0
        self.history: list[tuple[float, bool]] = [(0.0, False)]

    def measure_ratio(self) -> float:
        ratio = self.start_ratio
        for (earlier, _), (later, is_failure) in pairwise(self.history):
            if later - earlier >= 5.0:
                ratio /= 2.0
            ratio = 0.75 * ratio + 0.25 * is_failure
        return ratio

    def add(self, now: float, kind: str, is_full: bool) -> None:
        if kind == "CANCELLED" or now < self.ejected_until:
            return
        self.history.append((now, kind != "SUCCESS"))
        if kind == "SUCCESS" or self.measure_ratio() <= 0.5 or is_full:
            return
        if now - self.ejected_until > 60.0:
            self.durations = []
        self.durations.append(2.0 ** len(self.durations))
        self.ejected_until = now + self.durations[-1]
        self.start_ratio = 0.4
        self.history = [(self.ejected_until, False)]


class ZoneAwareBalancerTest(unittest.TestCase):
    def make_balancer(self, *hosts: Host, **overrides: object) -> ZoneAwareBalancer:
        balancer = ZoneAwareBalancer(
            zone="accra-a", zone_regions=ZONE_REGIONS, random_source=Random(5)
        )
        balancer.update(make_cluster(**overrides), tuple(hosts), 0.0)
        return balancer

    def run_call(
        self,
        balancer: ZoneAwareBalancer,
        now: float,
        kinds: dict[str, ObservationKind] | None = None,
    ) -> str:
        host = balancer.choose("slots", NO_HOSTS, None, now)
        balancer.begin("slots", host.host_id, now)
        kind = (kinds or {}).get(host.host_id, ObservationKind.SUCCESS)
        observation = CallObservation(kind=kind, latency_s=0.01)
        balancer.finish("slots", host.host_id, now, observation)
        return host.host_id

    def count_calls(
        self,
        balancer: ZoneAwareBalancer,
        n_calls: int,
        kinds: dict[str, ObservationKind] | None = None,
        start: float = 1.0,
        interval_s: float = 0.01,
    ) -> Counter[str]:
        return Counter(
            self.run_call(balancer, start + index * interval_s, kinds)
            for index in range(n_calls)
        )

    @given(
        st.lists(st.sampled_from(ZONES), min_size=1, max_size=8),
        st.sets(st.integers(0, 7)),
        st.sets(st.integers(0, 7)),
        st.none() | st.sets(st.integers(0, 7)),
    )
    def test_choice_is_permitted_and_nearest(
        self,
        zones: list[str],
        draining: set[int],
        excluded: set[int],
        candidates: set[int] | None,
    ) -> None:
        hosts = [make_host(str(index), zone=zone) for index, zone in enumerate(zones)]
        balancer = self.make_balancer(*hosts)
        for index in draining:
            balancer.mark_draining(str(index), 0.0)
        names = None if candidates is None else frozenset(map(str, candidates))
        chosen = balancer.choose("slots", frozenset(map(str, excluded)), names, 1.0)
        permitted = [
            host
            for index, host in enumerate(hosts)
            if index not in draining
            and index not in excluded
            and (candidates is None or index in candidates)
        ]
        if not permitted:
            self.assertIsNone(chosen)
            return
        self.assertIn(chosen, permitted)
        nearest = min(ZONES.index(host.zone) for host in permitted)
        self.assertEqual(ZONES.index(chosen.zone), nearest)

    def test_refusals_move_calls_to_the_region_and_back(self) -> None:
        near, far = make_hosts(2), make_hosts(2, "accra-b")
        balancer = self.make_balancer(*near, *far)
        refusing = {host.host_id: ObservationKind.REFUSED_OVERLOAD for host in near}
        counts = self.count_calls(balancer, 1000, refusing)
        n_far = sum(counts[host.host_id] for host in far)
        self.assertGreater(n_far, 700)
        balancer.choose("slots", NO_HOSTS, None, 60.0)
        counts = self.count_calls(balancer, 100, start=60.0)
        self.assertEqual(sum(counts[host.host_id] for host in far), 0)

    def test_full_tier_spills_over(self) -> None:
        balancer = self.make_balancer(
            *make_hosts(1), *make_hosts(1, "kumasi-a"), n_slots=2
        )
        for _ in range(2):
            balancer.begin("slots", "accra-a-0", 0.0)
        chosen = balancer.choose("slots", NO_HOSTS, None, 0.0)
        self.assertEqual(chosen.host_id, "kumasi-a-0")

    def test_busy_endpoint_gets_less(self) -> None:
        balancer = self.make_balancer(*make_hosts(4))
        for _ in range(5):
            balancer.begin("slots", "accra-a-0", 0.0)
        counts = self.count_calls(balancer, 400)
        self.assertLess(counts["accra-a-0"], 60)

    @settings(max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["SUCCESS", "FAILED", "LOST", "LOST", "CANCELLED"]),
                st.sampled_from([0.1, 0.1, 6.0]),
            ),
            min_size=20,
            max_size=50,
        )
    )
    def test_ejections_equal_a_replay_of_the_history(self, calls: list[tuple]) -> None:
        hosts = make_hosts(3)
        balancer = self.make_balancer(*hosts, max_ejected_ratio=0.4)
        replays = [EjectionReplay() for _ in hosts]
        now = 0.0
        for index, kind, duration_s in calls:
            now += duration_s
            observation = CallObservation(kind=ObservationKind[kind], latency_s=0.1)
            balancer.finish("slots", hosts[index].host_id, now, observation)
            is_full = any(replay.ejected_until > now for replay in replays)
            replays[index].add(now, kind, is_full)
            for host, replay in zip(hosts, replays, strict=True):
                state = balancer.clusters["slots"].endpoint_states[host.host_id]
                self.assertEqual(
                    max(state.ejected_until, 0.0), max(replay.ejected_until, 0.0)
                )

    def test_refusing_endpoint_gets_less(self) -> None:
        balancer = self.make_balancer(*make_hosts(4))
        refusing = {"accra-a-0": ObservationKind.REFUSED_OVERLOAD}
        counts = self.count_calls(balancer, 400, refusing)
        self.assertLess(counts["accra-a-0"], 60)

    def test_slow_endpoint_is_tried_again(self) -> None:
        balancer = self.make_balancer(*make_hosts(2))
        observation = CallObservation(kind=ObservationKind.SUCCESS, latency_s=9.0)
        balancer.finish("slots", "accra-a-0", 0.0, observation)
        self.assertLess(self.count_calls(balancer, 50)["accra-a-0"], 20)
        self.assertGreater(self.count_calls(balancer, 50, start=9.0)["accra-a-0"], 20)

    def test_success_never_ejects(self) -> None:
        balancer = self.make_balancer(*make_hosts(2), max_ejected_ratio=0.5)
        for now, host_id in ((0.0, "accra-a-0"), (0.5, "accra-a-1")):
            for _ in range(9):
                lost = CallObservation(kind=ObservationKind.LOST, latency_s=0.1)
                balancer.finish("slots", host_id, now, lost)
        answered = CallObservation(kind=ObservationKind.SUCCESS, latency_s=0.1)
        balancer.finish("slots", "accra-a-1", 3.0, answered)
        state = balancer.clusters["slots"].endpoint_states["accra-a-1"]
        self.assertTrue(state.is_failing)
        self.assertLess(state.ejected_until, 0.0)

    def test_failing_endpoint_is_ejected_longer_each_time(self) -> None:
        balancer = self.make_balancer(*make_hosts(4))
        failing = {"accra-a-0": ObservationKind.FAILED}
        state = balancer.clusters["slots"].endpoint_states["accra-a-0"]
        durations = []
        for index in range(3000):
            now = 1.0 + index * 0.01
            ejected_until = state.ejected_until
            self.run_call(balancer, now, failing)
            if state.ejected_until != ejected_until:
                durations.append(state.ejected_until - now)
        self.assertEqual([round(value) for value in durations[:3]], [1, 2, 4])

    def test_ejections_stop_at_the_cap(self) -> None:
        hosts = make_hosts(6)
        balancer = self.make_balancer(*hosts, max_ejected_ratio=0.5)
        failing = {host.host_id: ObservationKind.LOST for host in hosts}
        for index in range(500):
            self.run_call(balancer, 1.0 + index * 0.001, failing)
            endpoint_states = balancer.clusters["slots"].endpoint_states.values()
            n_ejected = sum(state.ejected_until > 1.5 for state in endpoint_states)
            self.assertLessEqual(n_ejected, 3)
        self.assertEqual(n_ejected, 3)

    def test_all_ejected_are_used_rather_than_none(self) -> None:
        balancer = self.make_balancer(*make_hosts(1), max_ejected_ratio=1.0)
        failing = {"accra-a-0": ObservationKind.TIMED_OUT}
        counts = self.count_calls(balancer, 50, failing)
        self.assertEqual(counts["accra-a-0"], 50)

    def test_new_endpoint_starts_slowly(self) -> None:
        hosts = make_hosts(4)
        balancer = self.make_balancer(*hosts[:3])
        balancer.update(make_cluster(), hosts, 100.0)
        cold = self.count_calls(balancer, 400, start=100.0, interval_s=0.001)
        warm = self.count_calls(balancer, 400, start=111.0, interval_s=0.001)
        self.assertLess(cold["accra-a-3"], 40)
        self.assertGreater(warm["accra-a-3"], 60)

    def test_draining_refusal_ends_new_work_until_timeout_or_replacement(self) -> None:
        hosts = make_hosts(2)
        balancer = self.make_balancer(*hosts)
        draining = {"accra-a-0": ObservationKind.REFUSED_DRAINING}
        counts = self.count_calls(balancer, 100, draining)
        self.assertEqual(counts["accra-a-0"], 1)
        balancer.update(make_cluster(slow_start_s=0.0), hosts[1:], 3.0)
        balancer.update(make_cluster(slow_start_s=0.0), hosts, 3.0)
        counts = self.count_calls(balancer, 100, start=3.0)
        self.assertGreater(counts["accra-a-0"], 10)

    def test_unlisted_endpoints_are_ignored(self) -> None:
        balancer = self.make_balancer(*make_hosts(1))
        observation = CallObservation(kind=ObservationKind.LOST, latency_s=0.1)
        balancer.begin("slots", "gone", 0.0)
        balancer.finish("slots", "gone", 0.0, observation)
        balancer.finish("gone", "gone", 0.0, observation)
        balancer.retain(frozenset())
        self.assertIsNone(balancer.choose("slots", NO_HOSTS, None, 0.0))
