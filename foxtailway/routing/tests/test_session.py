import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailway.routing import CallSession, Outcome, ResponseVerdict

GENERATION = 7
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "send", "answer", "answer", "abandon"]),
        st.integers(0, 6),
        st.integers(0, 2),
        st.booleans(),
        st.sampled_from([GENERATION, GENERATION, GENERATION, GENERATION - 1]),
    ),
    min_size=20,
    max_size=60,
)


class ReferenceSession:
    """Reference that keeps the full history of every call."""

    def __init__(self) -> None:
        self.history: dict[int, list[str]] = {}

    def is_open(self, call_id: int) -> bool:
        return call_id in self.history and "end" not in self.history[call_id]

    def classify_part(
        self, generation: int, call_id: int, part: int
    ) -> ResponseVerdict:
        history = self.history.get(call_id, [])
        if generation != GENERATION or "sent" not in history:
            is_late = generation == GENERATION and "abandoned" in history
            return ResponseVerdict.LATE if is_late else ResponseVerdict.FOREIGN
        if "abandoned" in history:
            return ResponseVerdict.LATE
        if "end" in history or part < history.count("part"):
            return ResponseVerdict.DUPLICATE
        is_next = part == history.count("part")
        return ResponseVerdict.DELIVER if is_next else ResponseVerdict.BROKEN


def make_session() -> CallSession:
    return CallSession(peer_host_id="peer", generation=GENERATION, max_open_calls=3)


class CallSessionTest(unittest.TestCase):
    @settings(max_examples=50)
    @given(STEPS)
    def test_matches_a_session_with_full_history(self, steps: list[tuple]) -> None:
        session, reference = make_session(), ReferenceSession()
        for action, call_id, part, is_last, generation in steps:
            if action == "open":
                opened = session.open()
                n_open = sum(map(reference.is_open, reference.history))
                self.assertEqual(opened is not None, n_open < 3)
                if opened is not None:
                    self.assertNotIn(opened, reference.history)
                    reference.history[opened] = ["open"]
            elif action == "send":
                self.assertEqual(session.mark_sent(call_id), reference.is_open(call_id))
                if reference.is_open(call_id):
                    reference.history[call_id].append("sent")
            elif action == "abandon":
                outcome = session.abandon(call_id)
                self.assertEqual(outcome is not None, reference.is_open(call_id))
                if reference.is_open(call_id):
                    is_sent = "sent" in reference.history[call_id]
                    self.assertEqual(outcome is Outcome.UNKNOWN, is_sent)
                    reference.history[call_id] += ["end", "abandoned"]
            else:
                expected = reference.classify_part(generation, call_id, part)
                verdict = session.accept(
                    generation=generation, call_id=call_id, part=part, is_last=is_last
                )
                self.assertIs(verdict, expected)
                if verdict is ResponseVerdict.DELIVER:
                    reference.history[call_id] += (
                        ["part", "end"] if is_last else ["part"]
                    )
                if verdict is ResponseVerdict.BROKEN:
                    reference.history[call_id] += ["end", "abandoned"]

    def test_repeated_part_is_dropped_and_gap_breaks(self) -> None:
        session = make_session()
        call_id = session.open()
        session.mark_sent(call_id)
        verdicts = [
            session.accept(
                generation=GENERATION, call_id=call_id, part=part, is_last=False
            )
            for part in (0, 0, 1, 3, 2)
        ]
        names = ["DELIVER", "DUPLICATE", "DELIVER", "BROKEN", "LATE"]
        self.assertEqual([verdict.name for verdict in verdicts], names)

    def test_close_ends_every_open_call(self) -> None:
        session = make_session()
        unsent, sent, answered = session.open(), session.open(), session.open()
        for call_id in (sent, answered):
            session.mark_sent(call_id)
        session.accept(generation=GENERATION, call_id=answered)
        ended = {call.call_id: call.refusal.outcome for call in session.close()}
        self.assertEqual(ended, {unsent: Outcome.NOT_RUN, sent: Outcome.UNKNOWN})
        verdict = session.accept(generation=GENERATION, call_id=sent)
        self.assertIs(verdict, ResponseVerdict.LATE)
        self.assertEqual(session.n_dropped[ResponseVerdict.LATE], 1)
        self.assertIsNone(session.open())
        self.assertFalse(session.mark_sent(unsent))
        self.assertEqual(session.close(), ())
