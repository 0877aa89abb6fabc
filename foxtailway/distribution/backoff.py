"""Intervals between retries."""

from random import Random

__all__ = ["full_jitter_s"]

MAX_EXPONENT = 30


def full_jitter_s(
    *, n_failures: int, base_s: float, max_s: float, random_source: Random
) -> float:
    """Return a random interval below a capped exponential bound, in seconds.

    Parameters
    ----------
    n_failures : int
        Failures so far.
    base_s, max_s : float
        Bound without a failure and largest bound, in seconds.
    random_source : Random
        Source of randomness.
    """
    bound_s = min(max_s, base_s * 2 ** min(n_failures, MAX_EXPONENT))
    return random_source.uniform(0.0, bound_s)
