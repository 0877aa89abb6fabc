"""Log lines of attempts that ended without a response."""

from dataclasses import dataclass

from foxtailway.sidecar.log import EventLog

__all__ = ["RefusalLog"]

# Interval of the lines of one upstream and reason. Under overload, one line for each
# refused attempt made up most of the log (51,093 lines on one day).
LINE_INTERVAL_S = 1.0
# Lines that are kept for requests which may still end with an error.
MAX_WITHHELD = 128
# Withheld lines that are written in a second at most. They count against the limit of
# all lines of requests, which the lines of the final errors need as well.
MAX_RECOVERED_PER_S = 10
# Pairs of upstream and reason whose last line is remembered.
MAX_PAIRS = 1_000


@dataclass(slots=True, kw_only=True)
class LastLine:
    """Time of the last line in seconds, and the number left out since then."""

    written_at: float
    n_unlogged: int = 0


class RefusalLog:
    """Writer of `not_answered`: one line a second for each upstream and reason.

    Parameters
    ----------
    log : EventLog
        Event log.

    Notes
    -----
    A line that is left out is kept for a while and written if the final answer to its
    request is an error.
    """

    def __init__(self, *, log: EventLog) -> None:
        self.log = log
        self.last_lines: dict[tuple[str, str], LastLine] = {}
        self.withheld: dict[tuple[str, str], dict[str, object]] = {}
        self.recovered_since = float("-inf")
        self.n_recovered = 0

    def write(
        self, request_id: str, upstream: str, reason: str, now: float, **fields: object
    ) -> None:
        """Write or withhold the line of an attempt.

        Parameters
        ----------
        request_id, upstream, reason : str
            Request, upstream and reason of the refusal.
        now : float
            Monotonic time, in seconds.
        **fields : object
            Further members of the line.
        """
        fields = {"upstream": upstream, "reason": reason, **fields}
        last = self.last_lines.get((upstream, reason))
        if last is not None and now - last.written_at < LINE_INTERVAL_S:
            last.n_unlogged += 1
            if request_id:
                self.withheld[request_id, upstream] = fields
                if len(self.withheld) > MAX_WITHHELD:
                    del self.withheld[next(iter(self.withheld))]
            return
        n_unlogged = 0 if last is None else last.n_unlogged
        self.last_lines.pop((upstream, reason), None)
        self.last_lines[upstream, reason] = LastLine(written_at=now)
        if len(self.last_lines) > MAX_PAIRS:
            del self.last_lines[next(iter(self.last_lines))]
        self.log.write(
            "not_answered", request_id or "-", **fields, n_unlogged=n_unlogged
        )

    def write_withheld(self, request_id: str, now: float) -> None:
        """Write the withheld lines of a request whose final answer is an error."""
        keys = [key for key in self.withheld if key[0] == request_id]
        if now - self.recovered_since >= 1.0:
            self.recovered_since = now
            self.n_recovered = 0
        for key in keys:
            fields = self.withheld.pop(key)
            if self.n_recovered < MAX_RECOVERED_PER_S:
                self.n_recovered += 1
                self.log.write("not_answered", request_id, **fields, n_unlogged=0)
