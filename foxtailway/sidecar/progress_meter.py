"""Progress of transfers against a minimum rate."""

__all__ = ["ProgressMeter"]


class ProgressMeter:
    """Tell for how long a transfer has been behind a minimum rate.

    Each byte pays for the time that it takes at the minimum rate, at most for
    `allowance_s` in advance. A transfer that stops is therefore behind after that time,
    however much it moved before, and one that trickles falls behind more and more.

    Parameters
    ----------
    allowance_s : float
        Longest pause of a transfer that is not behind, in seconds.

    Attributes
    ----------
    paid_until : float
        Monotonic time up to which the transfer keeps the minimum rate, in seconds;
        infinite before the first transfer.
    """

    __slots__ = ("allowance_s", "paid_until")

    def __init__(self, *, allowance_s: float) -> None:
        self.allowance_s = allowance_s
        self.paid_until = float("inf")

    def restart(self, min_rate: float, now: float) -> None:
        """Start to measure a transfer.

        Parameters
        ----------
        min_rate : float
            Minimum rate, in bytes per second; 0 if the transfer is never behind.
        now : float
            Monotonic time in seconds.
        """
        self.paid_until = now + self.allowance_s if min_rate else float("inf")

    def record(self, n_bytes: int, min_rate: float, now: float) -> None:
        """Record that bytes were moved.

        Parameters
        ----------
        n_bytes : int
            Bytes that were moved since the last call.
        min_rate : float
            Minimum rate, in bytes per second; 0 if the transfer is never behind.
        now : float
            Monotonic time in seconds.
        """
        if not min_rate:
            return
        paid_until = self.paid_until + n_bytes / min_rate
        self.paid_until = min(paid_until, now + self.allowance_s)

    def get_stalled_s(self, now: float) -> float:
        """Return for how long the transfer has been behind, in seconds; 0 if not."""
        return max(0.0, now - self.paid_until)
