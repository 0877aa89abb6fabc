"""Age of the platform's last confirmation."""

from math import ceil

from foxtailway.distribution.message import Beacon
from foxtailway.model.bundle import BundleKind

__all__ = ["Freshness"]

MS_PER_S = 1_000
HOP_AGE_MS = 1


class Freshness:
    """Follow how long ago the platform confirmed the held versions.

    Ages are durations on the monotonic clock that every hop adds up, so no
    wall clocks are compared. An age may be too low by the time that beacons
    spent under way.

    Attributes
    ----------
    confirmed_s : float or None
        Local time of the newest confirmation, in seconds.
    n_hops : int
        Nodes between this one and the platform.
    """

    def __init__(self) -> None:
        self.confirmed_s: float | None = None
        self.n_hops = 0
        self.kinds: dict[BundleKind, float] = {}

    def confirm(self, kind: BundleKind, *, now: float) -> None:
        """Note that the platform itself confirmed the held version of a kind."""
        self.kinds[kind] = now
        if len(self.kinds) == len(BundleKind):
            self.adopt(min(self.kinds.values()), n_hops=0)

    def hear(self, beacon: Beacon, *, now: float) -> None:
        """Take over the parent's beacon if it tells of a later confirmation."""
        if beacon.age_ms is None:
            return
        self.adopt(now - beacon.age_ms / MS_PER_S, n_hops=beacon.n_hops + 1)

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

    def beacon(self, now: float) -> Beacon:
        """Return what the node tells its peers."""
        age_s = self.age_s(now)
        if age_s is None:
            return Beacon(age_ms=None, n_hops=0)
        return Beacon(age_ms=ceil(age_s * MS_PER_S) + HOP_AGE_MS, n_hops=self.n_hops)
