import unittest

from hypothesis import given
from hypothesis import strategies as st

from foxtailway.routing import (
    LedgerVerdict,
    Outcome,
    RequestLedger,
    digest_request_key,
)

WINDOW_S = 5.0
MAX_ENTRIES = 3
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "begin", "finish", "relinquish", "wait"]),
        st.sampled_from("abcd"),
        st.sampled_from(Outcome),
    ),
    min_size=10,
    max_size=40,
)


class ReferenceLedger:
    """Reference that keeps every key, with the time at which its window ends."""

    def __init__(self) -> None:
        self.running: set[str] = set()
        self.done: dict[str, tuple[Outcome, float]] = {}

    def find_known(self, now: float) -> dict[str, Outcome]:
        known = {key: Outcome.UNKNOWN for key in self.running}
        known |= {key: done[0] for key, done in self.done.items() if done[1] > now}
        return known


class RequestLedgerTest(unittest.TestCase):
    @given(STEPS)
    def test_matches_a_ledger_that_never_deletes_keys(self, steps: list[tuple]) -> None:
        ledger = RequestLedger(host_id="host", max_entries=MAX_ENTRIES)
        reference, now = ReferenceLedger(), 0.0
        for action, key, outcome in steps:
            known = reference.find_known(now)
            is_free = key not in known and len(known) < MAX_ENTRIES
            if action == "begin":
                decision = ledger.begin(key, WINDOW_S, now)
                self.assertEqual(decision.verdict is LedgerVerdict.RUN, is_free)
                if is_free:
                    reference.running.add(key)
                else:
                    expected = known.get(key, Outcome.NOT_RUN)
                    self.assertIs(decision.refusal.outcome, expected)
            elif action == "relinquish":
                self.assertEqual(ledger.relinquish(key, WINDOW_S, now), is_free)
                if is_free:
                    reference.done[key] = (Outcome.UNKNOWN, now + WINDOW_S)
            elif action == "finish":
                ledger.finish(key, outcome, now)
                if key in reference.running:
                    reference.running.remove(key)
                    if outcome is not Outcome.NOT_RUN:
                        reference.done[key] = (outcome, now + WINDOW_S)
            else:
                now += 2.0
            self.assertLessEqual(len(ledger.entries), MAX_ENTRIES)

    def test_keys_differ_by_cluster(self) -> None:
        keys = {
            digest_request_key(cluster_name=name, value=value)
            for name, value in (("a", "bc"), ("ab", "c"), ("a", "c"))
        }
        self.assertEqual(len(keys), 3)
