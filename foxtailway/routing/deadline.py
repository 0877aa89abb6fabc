"""Arithmetic of deadlines that travel as remaining durations."""

__all__ = ["PauseDetector", "compute_deadline", "compute_hop_remaining_s"]

HOP_MARGIN_S = 0.002
MAX_REMAINING_S = 3600.0


def compute_deadline(*, remaining_s: float, now: float) -> float:
    """Return the local deadline of a call that arrived with a duration.

    Parameters
    ----------
    remaining_s : float
        Remaining time as sent by the previous node, in seconds.
    now : float
        Local time in seconds.

    Returns
    -------
    float
        Local time of the deadline; `now` for nonsense such as NaN.
    """
    if not remaining_s > 0.0:
        return now
    return now + min(remaining_s, MAX_REMAINING_S)


def compute_hop_remaining_s(
    *, deadline: float, now: float, margin_s: float = HOP_MARGIN_S
) -> float | None:
    """Return the duration to send to the next hop, or None when it is too late.

    Parameters
    ----------
    deadline : float
        Local time of the deadline, in seconds.
    now : float
        Local time in seconds.
    margin_s : float
        Time kept for the way there and back, in seconds.

    Returns
    -------
    float or None
        Remaining duration in seconds.

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
    """Notice that the process did not run for a while.

    Parameters
    ----------
    interval_s : float
        Interval at which `observe` is called, in seconds.
    tolerance_s : float
        Delay beyond the interval that counts as a pause, in seconds.
    settle_s : float
        Time after a pause in which messages may have waited for its length.
    now : float
        Time in seconds.

    Notes
    -----
    A message read after a pause may have lain in the kernel's buffer all the
    while, and its remaining duration does not show it. Until `settle_s` has
    passed, `discount_s` is to be taken off the duration of each message. A
    call is lost at worst; none runs after its caller gave up.
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

        To be called from a timer and before messages are read.

        Returns
        -------
        float
            Length of the pause that just ended in seconds; 0 when none did.
        """
        gap_s = now - self.observed_at
        self.observed_at = now
        if gap_s <= self.interval_s + self.tolerance_s:
            return 0.0
        self.resumed_at = now
        self.pause_s = gap_s
        return gap_s

    def discount_s(self, now: float) -> float:
        """Return the time that a message read now may have waited unseen."""
        return self.pause_s if now - self.resumed_at <= self.settle_s else 0.0
