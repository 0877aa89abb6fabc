"""Retries of calls that did not run, within a retry budget."""

from dataclasses import dataclass
from random import Random

from foxtailway.model.snapshot import Route
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["RetryBudget", "RetryDecision", "RetryPolicy"]

RETRYABLE_REASONS = frozenset(
    (
        RefusalReason.OVERLOADED,
        RefusalReason.DRAINING,
        RefusalReason.NOT_READY,
        RefusalReason.QUARANTINED,
        RefusalReason.LOST,
    )
)
# Largest backoff before the first retry; doubles with each further attempt.
BACKOFF_BASE_S = 0.01
# Upper bound of the backoff.
BACKOFF_MAX_S = 0.25


class RetryBudget:
    """Budget that bounds the retries to one cluster by a ratio of its calls.

    Parameters
    ----------
    ratio : float
        Retries that each call adds to the budget, between 0 and 1.
    n_initial : int, default=3
        Retries available before the first call.
    max_available : int, default=20
        Largest number of unused retries; at least `n_initial`.

    Notes
    -----
    After ``n`` calls at most ``ratio * n + n_initial`` retries have been allowed.
    """

    def __init__(
        self, *, ratio: float, n_initial: int = 3, max_available: int = 20
    ) -> None:
        self.ratio = ratio
        self.max_available = max(n_initial, max_available)
        self.n_available = float(n_initial)

    def record_call(self, now: float) -> None:
        """Add `ratio` retries to the budget; called once per call, not per retry."""
        self.n_available = min(self.max_available, self.n_available + self.ratio)

    def try_withdraw(self, now: float) -> bool:
        """Withdraw one retry from the budget; return whether one was available."""
        if self.n_available < 1.0:
            return False
        self.n_available -= 1.0
        return True


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDecision:
    """Decision whether and when a call is retried.

    Parameters
    ----------
    is_retried : bool
        Whether the call is retried.
    delay_s : float
        Backoff before the retry, in seconds.
    """

    is_retried: bool
    delay_s: float


NO_RETRY = RetryDecision(is_retried=False, delay_s=0.0)


class RetryPolicy:
    """Retry policy of the node that chooses the endpoint.

    Parameters
    ----------
    random_source : Random
        Source of the jitter.

    Notes
    -----
    Only the node that accepted the call from its caller retries it; the local
    node of the upstream never does. An attempt that did not run made no calls to
    other services, so the retries of one layer do not multiply those of the
    next: with a budget of ``ratio`` at every node, the attempts along a chain of
    any depth stay below ``1 + ratio`` times the calls. This requires that a
    response of an upstream counts as having run, whatever its status. A refusal
    by a draining host is not charged to the budget: the host gets no further
    calls from this node, so each planned stop costs a bounded number of retries.
    """

    def __init__(self, *, random_source: Random) -> None:
        self.random_source = random_source

    def decide(
        self,
        *,
        refusal: Refusal,
        route: Route,
        n_attempts: int,
        deadline: float,
        budget: RetryBudget,
        now: float,
    ) -> RetryDecision:
        """Decide whether a refused call is retried.

        Parameters
        ----------
        refusal : Refusal
            Refusal of the last attempt.
        route : Route
            Route of the call.
        n_attempts : int
            Attempts made so far, at least 1.
        deadline : float
            Deadline of the caller, as a monotonic time in seconds.
        budget : RetryBudget
            Budget of the cluster; charged when the call is retried, unless the
            refusing host is draining.
        now : float
            Time in seconds.

        Returns
        -------
        RetryDecision
            Retry after a backoff with jitter, or no retry.
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            return NO_RETRY
        if refusal.reason not in RETRYABLE_REASONS or n_attempts > route.n_retries:
            return NO_RETRY
        delay_s = self.draw_backoff_s(refusal.reason, n_attempts)
        if now + delay_s >= deadline:
            return NO_RETRY
        is_charged = refusal.reason is not RefusalReason.DRAINING
        if is_charged and not budget.try_withdraw(now):
            return NO_RETRY
        return RetryDecision(is_retried=True, delay_s=delay_s)

    def draw_backoff_s(self, reason: RefusalReason, n_attempts: int) -> float:
        """Return the backoff in seconds, with jitter.

        It is 0 for reasons that concern only the host that refused the call.
        """
        if reason is not RefusalReason.OVERLOADED:
            return 0.0
        max_backoff_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** (n_attempts - 1))
        return self.random_source.random() * max_backoff_s
