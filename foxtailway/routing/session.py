"""Matching of responses to calls on one stream between two nodes."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["CallSession", "EndedCall", "ResponseVerdict"]

# Abandoned calls that a session remembers, to recognize late responses.
MAX_ABANDONED_CALLS = 1024


class ResponseVerdict(Enum):
    """Verdict on a received part of a response.

    A ``DELIVER`` part is passed to the caller. The other parts are dropped:
    ``LATE`` ones of an abandoned call or a closed session, ``DUPLICATE`` ones,
    and ``FOREIGN`` ones of another stream or of a call that was never sent. A
    ``BROKEN`` part also ends the call, since an earlier part is missing.
    """

    DELIVER = "deliver"
    LATE = "late"
    DUPLICATE = "duplicate"
    FOREIGN = "foreign"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedCall:
    """Call that ended without a complete response, with its refusal."""

    call_id: int
    refusal: Refusal


@dataclass(slots=True, kw_only=True)
class OpenCall:
    """Progress of a call: whether it was sent, and the next expected part."""

    is_sent: bool
    next_part: int


class CallSession:
    """Session that matches responses to calls on one stream.

    Parameters
    ----------
    peer_host_id : str
        Host of the peer, reported in refusals.
    generation : int
        Number of the stream, which the peer repeats in each response.
    max_open_calls : int
        Largest number of open calls.

    Attributes
    ----------
    n_dropped : dict of ResponseVerdict to int
        Number of response parts that were not delivered, by verdict.

    Notes
    -----
    A session stores no bodies and performs no I/O.

    Call identifiers are not reused within a generation. The parts of a response
    are numbered from 0; a part that repeats an earlier one is dropped, and a
    part that follows a missing one ends the call.
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
        self.n_dropped = {verdict: 0 for verdict in ResponseVerdict}

    def open(self) -> int | None:
        """Open a call and return its identifier; None if closed or full."""
        if self.is_closed or len(self.calls) >= self.max_open_calls:
            return None
        call_id = self.next_call_id
        self.next_call_id += 1
        self.calls[call_id] = OpenCall(is_sent=False, next_part=0)
        return call_id

    def mark_sent(self, call_id: int) -> bool:
        """Record that a call is about to be sent.

        Called before the first write.

        Returns
        -------
        bool
            False if the call has ended; nothing may be sent then.
        """
        call = self.calls.get(call_id)
        if call is None:
            return False
        call.is_sent = True
        return True

    def accept(
        self, *, generation: int, call_id: int, part: int = 0, is_last: bool = True
    ) -> ResponseVerdict:
        """Record a received part of a response and return the verdict.

        Parameters
        ----------
        generation, call_id : int
            Stream and call that the part names.
        part : int, default=0
            Number of the part.
        is_last : bool, default=True
            Whether the part completes the response.

        Returns
        -------
        ResponseVerdict
            What the caller does with the part.
        """
        verdict = self.classify_part(generation, call_id, part)
        if verdict is ResponseVerdict.DELIVER:
            self.calls[call_id].next_part += 1
            if is_last:
                del self.calls[call_id]
            return verdict
        self.n_dropped[verdict] += 1
        if verdict is ResponseVerdict.BROKEN:
            del self.calls[call_id]
            self.record_abandoned(call_id)
        return verdict

    def classify_part(
        self, generation: int, call_id: int, part: int
    ) -> ResponseVerdict:
        """Return the verdict on a part without recording it."""
        if generation != self.generation or not 0 < call_id < self.next_call_id:
            return ResponseVerdict.FOREIGN
        call = self.calls.get(call_id)
        if call is None:
            is_late = self.is_closed or call_id in self.abandoned
            return ResponseVerdict.LATE if is_late else ResponseVerdict.DUPLICATE
        if not call.is_sent:
            return ResponseVerdict.FOREIGN
        if part < call.next_part:
            return ResponseVerdict.DUPLICATE
        return (
            ResponseVerdict.DELIVER
            if part == call.next_part
            else ResponseVerdict.BROKEN
        )

    def abandon(self, call_id: int) -> Outcome | None:
        """End a call that was cancelled or whose deadline passed.

        Returns
        -------
        Outcome or None
            NOT_RUN if the call was never sent, otherwise UNKNOWN; None if it
            had already ended.
        """
        call = self.calls.pop(call_id, None)
        if call is None:
            return None
        self.record_abandoned(call_id)
        return get_outcome(call)

    def close(self) -> tuple[EndedCall, ...]:
        """Close the session and end all open calls; idempotent.

        Returns
        -------
        tuple of EndedCall
            Calls in the order of their identifiers; the outcome is NOT_RUN for
            a call that was never sent, otherwise UNKNOWN.
        """
        self.is_closed = True
        ended = tuple(
            EndedCall(call_id=call_id, refusal=self.refuse(get_outcome(call)))
            for call_id, call in self.calls.items()
        )
        self.calls.clear()
        return ended

    def record_abandoned(self, call_id: int) -> None:
        """Remember an abandoned call, so that its response is recognized as late."""
        self.abandoned[call_id] = None
        if len(self.abandoned) > MAX_ABANDONED_CALLS:
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
    """Return the outcome of a call that ends without a response."""
    return Outcome.UNKNOWN if call.is_sent else Outcome.NOT_RUN
