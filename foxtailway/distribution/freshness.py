"""Age of the platform's last confirmation."""

from math import ceil, inf

from foxtailway.distribution.message import Confirmation
from foxtailway.model.bundle import BundleKind

__all__ = ["Freshness"]

MS_PER_S = 1_000
HOP_AGE_MS = 1
CLEAR_SHARE = 0.5


class Freshness:
    """Follow how long ago the platform confirmed the held versions.

    Ages are durations on the monotonic clock that every hop adds up, so no
    wall clocks are compared. An age may be too low by the time that beacons
    spent under way.

    Parameters
    ----------
    stale_s : float
        Age above which a confirmation is stale, in seconds.

    Attributes
    ----------
    confirmed_s : float or None
        Local time of the newest confirmation, in seconds.
    n_hops : int
        Nodes between this one and the platform.
    """

    def __init__(self, *, stale_s: float) -> None:
        self.stale_s = stale_s
        self.confirmed_s: float | None = None
        self.n_hops = 0
        self.kinds: dict[BundleKind, float] = {}

    def confirm(self, kind: BundleKind, *, now: float) -> None:
        """Note that the platform itself confirmed the held version of a kind."""
        self.kinds[kind] = now
        if len(self.kinds) == len(BundleKind):
            self.adopt(min(self.kinds.values()), n_hops=0)

    def hear(self, confirmation: Confirmation, *, now: float) -> None:
        """Take over the parent's beacon if it tells of a later confirmation."""
        if confirmation.age_ms is None:
            return
        self.adopt(now - confirmation.age_ms / MS_PER_S, n_hops=confirmation.n_hops + 1)

    def adopt(self, confirmed_s: float, *, n_hops: int) -> None:
        """Keep the later of two confirmations."""
        if self.confirmed_s is None or confirmed_s >= self.confirmed_s:
            self.confirmed_s = confirmed_s
            self.n_hops = n_hops

    def forget(self) -> None:
        """Treat the held versions as unconfirmed."""
        self.confirmed_s = None
        self.n_hops = 0
        self.kinds.clear()

    def age_s(self, now: float) -> float | None:
        """Return the age of the newest confirmation, or None without one."""
        if self.confirmed_s is None:
            return None
        return max(0.0, now - self.confirmed_s)

    def confirmation(self, now: float) -> Confirmation:
        """Return what the node tells its peers."""
        age_s = self.age_s(now)
        if age_s is None:
            return Confirmation(age_ms=None, n_hops=0)
        return Confirmation(
            age_ms=ceil(age_s * MS_PER_S) + HOP_AGE_MS, n_hops=self.n_hops
        )

    def is_stale(self, now: float) -> bool:
        """Tell whether there is no confirmation, or only too old a one."""
        age_s = self.age_s(now)
        return age_s is None or age_s > self.stale_s

    def lag_s(self, confirmation: Confirmation, now: float) -> float:
        """Return how much older a peer's confirmation is, in seconds.

        Negative for a peer that is ahead; infinite where one side has no
        confirmation at all.
        """
        age_s = self.age_s(now)
        if confirmation.age_ms is None:
            return inf if age_s is not None else 0.0
        if age_s is None:
            return -inf
        return confirmation.age_ms / MS_PER_S - age_s

    def is_clearly_ahead(self, confirmation: Confirmation, now: float) -> bool:
        """Tell whether a peer is fresher by a good deal."""
        return self.lag_s(confirmation, now) < -self.stale_s * CLEAR_SHARE

    def is_clearly_behind(self, confirmation: Confirmation, now: float) -> bool:
        """Tell whether a peer is staler by a good deal."""
        return self.lag_s(confirmation, now) > self.stale_s * CLEAR_SHARE
