"""Utility of a response by the time at which it arrives."""

__all__ = ["compute_utility"]

# Utility of a response that arrives after the target latency.
LATE_UTILITY = 0.3
# Share of the time until a request is due up to which an expected response has its
# full utility.
FULL_UTILITY_SHARE = 0.7
# Share of the time until a request is due at which an expected response has only the
# utility of a late one.
LATE_SHARE = 1.2


def compute_utility(
    finish_at: float, *, now: float, due_at: float, deadline: float
) -> float:
    """Return the expected utility of a response that arrives at `finish_at`.

    Parameters
    ----------
    finish_at : float
        Expected arrival of the response, as monotonic time in seconds.
    now, due_at, deadline : float
        Monotonic times of the call, after which a response is late, and at which the
        caller stops waiting, in seconds.

    Returns
    -------
    float
        Utility from 0 to 1.

    Examples
    --------
    >>> compute_utility(0.1, now=0.0, due_at=1.0, deadline=2.0)
    1.0
    >>> compute_utility(3.0, now=0.0, due_at=1.0, deadline=2.0)
    0.0
    """
    if finish_at >= deadline:
        return 0.0
    if due_at <= now:
        return LATE_UTILITY
    used_share = (finish_at - now) / (due_at - now)
    if used_share <= FULL_UTILITY_SHARE:
        return 1.0
    if used_share >= LATE_SHARE:
        return LATE_UTILITY
    decline = (used_share - FULL_UTILITY_SHARE) / (LATE_SHARE - FULL_UTILITY_SHARE)
    return 1.0 - decline * (1.0 - LATE_UTILITY)
