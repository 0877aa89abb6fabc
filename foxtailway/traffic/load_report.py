"""Load of an upstream as its sidecar reports it to entries."""

from dataclasses import dataclass

__all__ = ["LoadReport"]


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an upstream, measured by the node on its host.

    Parameters
    ----------
    n_busy : int
        Requests that run or wait in the queue.
    n_slots : int
        Requests that the upstream can sustain at once.
    run_time_s : float
        Mean run time of the upstream's requests, in seconds.
    speed_ratio : float, default=1.0
        Run time of the upstream's requests in relation to the mean of its service,
        over its whole life.
    warm_in_s : float, default=0.0
        Time until the upstream is warm, in seconds; 0 for a warm one.
    n_cold_permits : int, default=0
        Requests that the cold upstream may get at once.
    slowdown : float, default=1.0
        Run time of its last requests in relation to the lasting ratio; 1 unless the
        upstream is much slower than usual.
    failure_ratio : float, default=0.0
        Share of its last requests that failed; 0 if it is small.
    """

    n_busy: int
    n_slots: int
    run_time_s: float
    speed_ratio: float = 1.0
    warm_in_s: float = 0.0
    n_cold_permits: int = 0
    slowdown: float = 1.0
    failure_ratio: float = 0.0

    @property
    def is_degraded(self) -> bool:
        """Whether the upstream is slow or fails requests at present."""
        return self.slowdown > 1.0 or self.failure_ratio > 0.0
