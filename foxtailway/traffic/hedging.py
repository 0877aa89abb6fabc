"""When a slow request is sent to a second upstream."""

__all__ = ["HEDGE_BUDGET_SHARE", "hedge_at"]

# An attempt is slow from this multiple of the mean run time on.
SLOW_FACTOR = 2.0
# Time before a request is due at which a second attempt is still expected to
# answer in time, as a multiple of the mean run time.
LEAD_FACTOR = 1.2
# Part of the retry budget that slow requests may use; failed ones need the rest.
HEDGE_BUDGET_SHARE = 0.5


def hedge_at(
    *, started_at: float, due_at: float, deadline: float, run_time_s: float
) -> float:
    """Return the time at which a second attempt is worth its cost.

    Parameters
    ----------
    started_at, due_at, deadline : float
        Times at which the first attempt began, at which an answer is late and
        at which the caller gives up, in seconds.
    run_time_s : float
        Mean run time of such requests, in seconds.

    Returns
    -------
    float
        Time in seconds; infinity if no second attempt can answer in time.

    Notes
    -----
    A second attempt helps against run times with a long tail [1]_. It starts as
    late as it can be in time, so that few requests need it.

    References
    ----------
    .. [1] J. Dean and L. A. Barroso, "The tail at scale", Communications of the
       ACM 56(2), 2013.

    Examples
    --------
    >>> hedge_at(started_at=0.0, due_at=1.0, deadline=2.0, run_time_s=0.25)
    0.7
    >>> hedge_at(started_at=0.0, due_at=0.1, deadline=0.3, run_time_s=0.2)
    inf
    """
    at = max(started_at + SLOW_FACTOR * run_time_s, due_at - LEAD_FACTOR * run_time_s)
    return at if at + run_time_s < deadline else float("inf")
