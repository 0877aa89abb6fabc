"""Age of the last confirmation by the platform."""

from math import ceil, inf

from foxtailway.distribution.message import Confirmation
from foxtailway.model.bundle import BundleKind

__all__ = ["Freshness"]

MS_PER_S = 1_000
# Added to the age at every hop, for the time that a message takes.
HOP_AGE_MS = 1
# Difference of two ages that counts as clear, as a ratio of the stale limit.
CLEAR_DIFFERENCE_RATIO = 0.5


class Freshness:
    """Track how long ago the platform confirmed the held versions.

    Ages are durations on the monotonic clock that accumulate over the hops, so
    no wall clocks are compared. An age may be too low by the time that messages
    spent in transit.

    Parameters
    ----------
    stale_s : float
        Age above which a confirmation is stale, in seconds.

    Attributes
    ----------
    confirmed_s : float or None
        Monotonic time of the latest confirmation, in seconds.
    n_hops : int
        Nodes between this one and the platform.
    """

    def __init__(self, *, stale_s: float) -> None:
        self.stale_s = stale_s
        self.confirmed_s: float | None = None
        self.n_hops = 0
        self.confirmed_s_by_kind: dict[BundleKind, float] = {}

    def confirm(self, kind: BundleKind, *, now: float) -> None:
        """Record that the platform confirmed the held version of a kind.

        The node counts as confirmed from the earliest of these times on, once every
        kind has been confirmed.
        """
        self.confirmed_s_by_kind[kind] = now
        if len(self.confirmed_s_by_kind) == len(BundleKind):
            self.advance_confirmation(min(self.confirmed_s_by_kind.values()), n_hops=0)

    def update(self, confirmation: Confirmation, *, now: float) -> None:
        """Apply a confirmation from the parent unless a later one is known."""
        if confirmation.age_ms is None:
            return
        self.advance_confirmation(
            now - confirmation.age_ms / MS_PER_S, n_hops=confirmation.n_hops + 1
        )

    def advance_confirmation(self, confirmed_s: float, *, n_hops: int) -> None:
        """Set the time of the latest confirmation unless it would move back."""
        if self.confirmed_s is None or confirmed_s >= self.confirmed_s:
            self.confirmed_s = confirmed_s
            self.n_hops = n_hops

    def reset(self) -> None:
        """Mark the held versions as unconfirmed."""
        self.confirmed_s = None
        self.n_hops = 0
        self.confirmed_s_by_kind.clear()

    def age_s(self, now: float) -> float | None:
        """Return the age of the latest confirmation in seconds, or None without one."""
        if self.confirmed_s is None:
            return None
        return max(0.0, now - self.confirmed_s)

    def make_confirmation(self, now: float) -> Confirmation:
        """Return the confirmation that is sent to peers."""
        age_s = self.age_s(now)
        if age_s is None:
            return Confirmation(age_ms=None, n_hops=0)
        return Confirmation(
            age_ms=ceil(age_s * MS_PER_S) + HOP_AGE_MS, n_hops=self.n_hops
        )

    def is_stale(self, now: float) -> bool:
        """Return whether the latest confirmation is too old or there is none."""
        age_s = self.age_s(now)
        return age_s is None or age_s > self.stale_s

    def lag_s(self, confirmation: Confirmation, now: float) -> float:
        """Return how much older the confirmation of a peer is, in seconds.

        Negative for a peer that is ahead, infinite where only one side has a
        confirmation, and 0 where neither has.
        """
        age_s = self.age_s(now)
        if confirmation.age_ms is None:
            return inf if age_s is not None else 0.0
        if age_s is None:
            return -inf
        return confirmation.age_ms / MS_PER_S - age_s

    def is_clearly_ahead(self, confirmation: Confirmation, now: float) -> bool:
        """Return whether a peer is fresher by more than the clear difference."""
        return self.lag_s(confirmation, now) < -self.stale_s * CLEAR_DIFFERENCE_RATIO

    def is_clearly_behind(self, confirmation: Confirmation, now: float) -> bool:
        """Return whether a peer is staler by more than the clear difference."""
        return self.lag_s(confirmation, now) > self.stale_s * CLEAR_DIFFERENCE_RATIO
