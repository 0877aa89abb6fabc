"""Deadlines, which are sent between nodes as remaining time."""

__all__ = ["PauseDetector", "compute_deadline", "compute_hop_remaining_s"]

# Part of the remaining time reserved for the transit of one hop and back.
HOP_MARGIN_S = 0.002
# Largest remaining time accepted from a peer; longer ones are reduced to it.
MAX_REMAINING_S = 3600.0


def compute_deadline(*, remaining_s: float, now: float) -> float:
    """Return the local deadline of a call that arrived with its remaining time.

    Parameters
    ----------
    remaining_s : float
        Remaining time as sent by the previous node, in seconds.
    now : float
        Local time in seconds.

    Returns
    -------
    float
        Local time of the deadline; `now` when `remaining_s` is not positive or
        NaN, and at most 3600 s after `now`.
    """
    if not remaining_s > 0.0:
        return now
    return now + min(remaining_s, MAX_REMAINING_S)


def compute_hop_remaining_s(
    *, deadline: float, now: float, margin_s: float = HOP_MARGIN_S
) -> float | None:
    """Return the remaining time to send to the next hop, or None if it ran out.

    Parameters
    ----------
    deadline : float
        Local time of the deadline, in seconds.
    now : float
        Local time in seconds.
    margin_s : float
        Time reserved for the transit of the hop and back, in seconds.

    Returns
    -------
    float or None
        Remaining time in seconds; None when it is not positive.

    Examples
    --------
    >>> compute_hop_remaining_s(deadline=10.0, now=9.0, margin_s=0.25)
    0.75
    >>> compute_hop_remaining_s(deadline=10.0, now=9.9, margin_s=0.25) is None
    True
    """
    remaining_s = deadline - now - margin_s
    return remaining_s if remaining_s > 0.0 else None


class PauseDetector:
    """Detector of intervals in which the process did not run.

    Parameters
    ----------
    interval_s : float
        Interval at which `observe` is called, in seconds.
    tolerance_s : float
        Delay beyond the interval above which it counts as a pause, in seconds.
    settle_s : float
        Time after a pause during which a message that is read may have waited as
        long as the pause lasted, in seconds.
    now : float
        Time in seconds.

    Notes
    -----
    A message read after a pause may have been in the kernel's receive buffer
    for the whole pause, which its remaining time does not reflect. Until
    `settle_s` has passed, the caller subtracts `discount_s` from the remaining
    time of each message. At worst this loses a call; no call runs after its
    caller's deadline.
    """

    def __init__(
        self, *, interval_s: float, tolerance_s: float, settle_s: float, now: float
    ) -> None:
        self.interval_s = interval_s
        self.tolerance_s = tolerance_s
        self.settle_s = settle_s
        self.observed_at = now
        self.resumed_at = float("-inf")
        self.pause_s = 0.0

    def observe(self, now: float) -> float:
        """Record that the process runs and return the length of a pause.

        Called from a timer and before messages are read.

        Returns
        -------
        float
            Length of the pause that this call detects, in seconds; 0 for none.
        """
        gap_s = now - self.observed_at
        self.observed_at = now
        if gap_s <= self.interval_s + self.tolerance_s:
            return 0.0
        self.resumed_at = now
        self.pause_s = gap_s
        return gap_s

    def discount_s(self, now: float) -> float:
        """Return the time in seconds that a message read now may have waited."""
        return self.pause_s if now - self.resumed_at <= self.settle_s else 0.0
