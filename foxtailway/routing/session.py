"""Correlation of calls and answers on one stream between two nodes."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["AnswerVerdict", "CallSession", "EndedCall"]

N_REMEMBERED = 1024


class AnswerVerdict(Enum):
    """What to do with a received part of an answer.

    ``DELIVER`` passes it to the caller; ``LATE``, ``DUPLICATE`` and
    ``FOREIGN`` parts are dropped; ``BROKEN`` ends the call, since the answer
    can no longer become whole.
    """

    DELIVER = "deliver"
    LATE = "late"
    DUPLICATE = "duplicate"
    FOREIGN = "foreign"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedCall:
    """Tell how a call ended that got no whole answer."""

    call_id: int
    refusal: Refusal


@dataclass(slots=True, kw_only=True)
class OpenCall:
    """Hold the progress of a call."""

    is_sent: bool
    next_part: int


class CallSession:
    """Match answers to calls on one stream; holds no bodies and does no I/O.

    Parameters
    ----------
    peer_host_id : str
        Host at the other end, named in refusals.
    generation : int
        Number of the stream, which the peer repeats in each answer.
    max_open_calls : int
        Calls that may be open at a time.

    Attributes
    ----------
    n_dropped : dict of AnswerVerdict to int
        Parts of answers that were not delivered, by verdict.

    Notes
    -----
    Call identifiers are never used twice within a generation. The parts of an
    answer are numbered from 0; a part that repeats an earlier one is dropped,
    a part that leaves a gap breaks the call.
    """

    def __init__(
        self, *, peer_host_id: str, generation: int, max_open_calls: int
    ) -> None:
        self.peer_host_id = peer_host_id
        self.generation = generation
        self.max_open_calls = max_open_calls
        self.next_call_id = 1
        self.is_closed = False
        self.calls: dict[int, OpenCall] = {}
        self.abandoned: OrderedDict[int, None] = OrderedDict()
        self.n_dropped = {verdict: 0 for verdict in AnswerVerdict}

    def open(self) -> int | None:
        """Allocate a call; None when the session is closed or full."""
        if self.is_closed or len(self.calls) >= self.max_open_calls:
            return None
        call_id = self.next_call_id
        self.next_call_id += 1
        self.calls[call_id] = OpenCall(is_sent=False, next_part=0)
        return call_id

    def mark_sent(self, call_id: int) -> bool:
        """Record that bytes of a call are about to leave.

        To be called before the first write.

        Returns
        -------
        bool
            False when the call has ended; nothing may be sent then.
        """
        call = self.calls.get(call_id)
        if call is None:
            return False
        call.is_sent = True
        return True

    def accept(
        self, *, generation: int, call_id: int, part: int = 0, is_last: bool = True
    ) -> AnswerVerdict:
        """Decide about a received part of an answer.

        Parameters
        ----------
        generation, call_id : int
            Stream and call to which the part belongs by its own account.
        part : int, default=0
            Number of the part.
        is_last : bool, default=True
            Whether the part completes the answer.

        Returns
        -------
        AnswerVerdict
            What to do with the part.
        """
        verdict = self.judge(generation, call_id, part)
        if verdict is AnswerVerdict.DELIVER:
            self.calls[call_id].next_part += 1
            if is_last:
                del self.calls[call_id]
            return verdict
        self.n_dropped[verdict] += 1
        if verdict is AnswerVerdict.BROKEN:
            del self.calls[call_id]
            self.remember(call_id)
        return verdict

    def judge(self, generation: int, call_id: int, part: int) -> AnswerVerdict:
        """Return the verdict on a part without recording it."""
        if generation != self.generation or not 0 < call_id < self.next_call_id:
            return AnswerVerdict.FOREIGN
        call = self.calls.get(call_id)
        if call is None:
            is_late = self.is_closed or call_id in self.abandoned
            return AnswerVerdict.LATE if is_late else AnswerVerdict.DUPLICATE
        if not call.is_sent:
            return AnswerVerdict.FOREIGN
        if part < call.next_part:
            return AnswerVerdict.DUPLICATE
        return AnswerVerdict.DELIVER if part == call.next_part else AnswerVerdict.BROKEN

    def abandon(self, call_id: int) -> Outcome | None:
        """End a call whose caller went away or whose deadline passed.

        Returns
        -------
        Outcome or None
            NOT_RUN when it was never sent, otherwise UNKNOWN; None when the
            call had ended before.
        """
        call = self.calls.pop(call_id, None)
        if call is None:
            return None
        self.remember(call_id)
        return get_outcome(call)

    def close(self) -> tuple[EndedCall, ...]:
        """End the stream and settle all open calls; idempotent.

        Returns
        -------
        tuple of EndedCall
            Calls in the order of their identifiers: not run when never sent,
            otherwise of unknown outcome.
        """
        self.is_closed = True
        ended = tuple(
            EndedCall(call_id=call_id, refusal=self.refuse(get_outcome(call)))
            for call_id, call in self.calls.items()
        )
        self.calls.clear()
        return ended

    def remember(self, call_id: int) -> None:
        """Keep an abandoned call, so that its answer is known as late."""
        self.abandoned[call_id] = None
        if len(self.abandoned) > N_REMEMBERED:
            self.abandoned.popitem(last=False)

    def refuse(self, outcome: Outcome) -> Refusal:
        """Return the refusal of a call that was lost with the stream."""
        return Refusal(
            outcome=outcome,
            reason=RefusalReason.LOST,
            retry_after_s=0.0,
            host_id=self.peer_host_id,
        )


def get_outcome(call: OpenCall) -> Outcome:
    """Return the outcome of a call that ends without an answer."""
    return Outcome.UNKNOWN if call.is_sent else Outcome.NOT_RUN
