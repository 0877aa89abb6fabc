import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.routing import (
    CrashContainment,
    Outcome,
    RefusalReason,
    compute_fingerprint,
)
from foxtailway.routing.tests.builders import make_host

HOSTS = tuple(make_host(f"host-{index}") for index in range(10))
N_CRASH_HOSTS = 2
QUARANTINE_S = 30.0


def make_containment(max_entries: int = 100) -> CrashContainment:
    return CrashContainment(host_id="node", max_entries=max_entries)


def record_loss(
    containment: CrashContainment,
    name: str,
    host_id: str,
    now: float = 0.0,
    n_crash_hosts: int = N_CRASH_HOSTS,
) -> bool:
    return containment.record_loss(
        name, host_id, n_crash_hosts=n_crash_hosts, quarantine_s=QUARANTINE_S, now=now
    )


class CrashContainmentTest(unittest.TestCase):
    @settings(max_examples=50)
    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 9)), min_size=20))
    def test_resent_request_crashes_few_hosts(self, calls: list[tuple]) -> None:
        nodes = [make_containment() for _ in range(5)]
        crashed = set()
        for index, choice in calls:
            if nodes[index].check_quarantine("deadly", 0.0) is not None:
                continue
            candidates = nodes[index].list_candidates(
                "deadly", HOSTS, N_CRASH_HOSTS, 0.0
            )
            host_id = sorted(candidates)[choice % len(candidates)]
            crashed.add(host_id)
            record_loss(nodes[index], "deadly", host_id)
        self.assertLessEqual(len(crashed), N_CRASH_HOSTS)

    def test_quarantine_begins_with_the_last_host_and_ends(self) -> None:
        containment = make_containment()
        self.assertFalse(record_loss(containment, "deadly", "host-1"))
        self.assertFalse(record_loss(containment, "deadly", "host-1"))
        self.assertIsNone(containment.check_quarantine("deadly", 0.0))
        self.assertTrue(record_loss(containment, "deadly", "host-2"))
        refusal = containment.check_quarantine("deadly", 1.0)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertIs(refusal.reason, RefusalReason.QUARANTINED)
        self.assertEqual(refusal.retry_after_s, QUARANTINE_S - 1.0)
        self.assertIsNone(containment.check_quarantine("other", 1.0))
        self.assertIsNone(containment.check_quarantine("deadly", QUARANTINE_S))

    def test_success_removes_the_bound_and_exempts_one_loss(self) -> None:
        containment = make_containment()
        containment.record_success("popular", 0.0)
        self.assertIsNone(containment.list_candidates("popular", HOSTS, 2, 1.0))
        self.assertFalse(
            record_loss(containment, "popular", "host-1", 1.0, n_crash_hosts=1)
        )
        self.assertIsNone(containment.check_quarantine("popular", 1.0))
        self.assertEqual(len(containment.list_candidates("popular", HOSTS, 2, 1.0)), 2)
        self.assertTrue(
            record_loss(containment, "popular", "host-1", 2.0, n_crash_hosts=1)
        )
        containment.record_success("popular", 3.0)
        self.assertIsNone(containment.check_quarantine("popular", 3.0))

    def test_old_success_does_not_count(self) -> None:
        containment = make_containment()
        containment.record_success("popular", 0.0)
        candidates = containment.list_candidates("popular", HOSTS, 2, 61.0)
        self.assertEqual(len(candidates), 2)

    def test_quarantine_started_elsewhere_refuses(self) -> None:
        containment = make_containment()
        containment.start_quarantine("deadly", quarantine_s=QUARANTINE_S, now=0.0)
        self.assertIsNotNone(containment.check_quarantine("deadly", 1.0))

    def test_memory_is_bounded(self) -> None:
        containment = make_containment(max_entries=5)
        for index in range(20):
            containment.record_success(f"good-{index}", 0.0)
            record_loss(containment, f"bad-{index}", "host-1", n_crash_hosts=1)
        self.assertEqual(len(containment.successes), 5)
        self.assertEqual(len(containment.suspects), 5)
        self.assertIsNotNone(containment.check_quarantine("bad-19", 1.0))
        record_loss(containment, "late", "host-1", 1000.0)
        self.assertEqual(list(containment.suspects), ["late"])

    def test_fingerprints_differ_by_each_part(self) -> None:
        parts = [("GET", "/a", b"x"), ("PUT", "/a", b"x"), ("GET", "/b", b"x")]
        parts.append(("GET", "/a", b"y"))
        prints = {
            compute_fingerprint(method=method, path=path, body=body)
            for method, path, body in parts
        }
        self.assertEqual(len(prints), len(parts))
