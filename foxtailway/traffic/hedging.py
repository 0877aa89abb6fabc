"""Start time of hedged attempts."""

__all__ = ["HEDGE_BUDGET_SHARE", "compute_hedge_start"]

# Multiple of the mean run time at which an attempt counts as slow.
SLOW_FACTOR = 2.0
# Time before the due time at which a hedged attempt is still expected to respond in
# time, as a multiple of the mean run time.
LEAD_FACTOR = 1.2
# Share of the retry budget that hedged attempts may use; the rest is reserved for
# retries of failed requests.
HEDGE_BUDGET_SHARE = 0.5


def compute_hedge_start(
    *, started_at: float, due_at: float, deadline: float, run_time_s: float
) -> float:
    """Return the time at which a hedged attempt starts.

    Parameters
    ----------
    started_at, due_at, deadline : float
        Monotonic times at which the first attempt started, after which a response
        is late, and at which the caller stops waiting, in seconds.
    run_time_s : float
        Mean run time of the route's requests, in seconds.

    Returns
    -------
    float
        Monotonic time in seconds; infinity if a hedged attempt is not expected to
        respond before the deadline.

    Notes
    -----
    Hedged attempts reduce the tail latency when run times have a long tail [1]_.
    They start as late as possible to respond in time, so that few requests need one.

    References
    ----------
    .. [1] J. Dean and L. A. Barroso, "The tail at scale", Communications of the
       ACM 56(2), 2013.

    Examples
    --------
    >>> compute_hedge_start(started_at=0.0, due_at=1.0, deadline=2.0, run_time_s=0.25)
    0.7
    >>> compute_hedge_start(started_at=0.0, due_at=0.1, deadline=0.3, run_time_s=0.2)
    inf
    """
    start_at = max(
        started_at + SLOW_FACTOR * run_time_s, due_at - LEAD_FACTOR * run_time_s
    )
    return start_at if start_at + run_time_s < deadline else float("inf")
