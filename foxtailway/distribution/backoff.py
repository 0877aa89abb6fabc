"""Retry intervals: exponential backoff with full jitter."""

from random import Random

__all__ = ["full_jitter_s"]

# Limits the power of two, so that it does not overflow a float.
MAX_EXPONENT = 30


def full_jitter_s(
    *, n_failures: int, base_s: float, max_s: float, random_source: Random
) -> float:
    """Return a random retry interval below a capped exponential limit, in seconds.

    Parameters
    ----------
    n_failures : int
        Consecutive failures so far.
    base_s, max_s : float
        Limit after no failure and largest limit, in seconds.
    random_source : Random
        Source of jitter.
    """
    bound_s = min(max_s, base_s * 2 ** min(n_failures, MAX_EXPONENT))
    return random_source.uniform(0.0, bound_s)
