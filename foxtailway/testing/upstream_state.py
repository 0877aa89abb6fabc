"""State of the fake upstream."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

__all__ = ["UpstreamCounters", "UpstreamFaults", "UpstreamState"]


@dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Behaviour that tests change while the fake upstream runs.

    Parameters
    ----------
    delay_s : float
        Run time of a request, in seconds.
    cold_start_s : float
        Time after the start during which runs take ten times as long, in seconds.
    is_draining : bool
        Whether new requests are refused with status 503.
    is_reported_healthy : bool
        Result of ``/health``, independent of the actual state.
    """

    delay_s: float = 0.0
    cold_start_s: float = 0.0
    is_draining: bool = False
    is_reported_healthy: bool = True


@dataclass(slots=True, kw_only=True)
class UpstreamCounters:
    """Counters of the requests since the start.

    Parameters
    ----------
    n_runs : int
        Requests that acquired a slot and ran.
    n_running : int
        Requests that currently hold a slot.
    n_most_running : int
        Largest number of requests that held a slot at the same time.
    n_shed : int
        Requests refused with status 503 without running.
    n_abandoned : int
        Requests whose client closed the connection before the response.
    """

    n_runs: int = 0
    n_running: int = 0
    n_most_running: int = 0
    n_shed: int = 0
    n_abandoned: int = 0


class UpstreamState:
    """Slots, faults and counters of a fake upstream.

    Parameters
    ----------
    name : str
        Name in the body of every response.
    n_slots : int
        Maximum number of requests that run at the same time.
    n_connections : int
        Maximum number of requests that run or wait at the same time; further
        requests are refused.
    delay_s : float
        Initial run time of a request, in seconds.
    """

    def __init__(
        self, *, name: str, n_slots: int, n_connections: int, delay_s: float
    ) -> None:
        self.name = name
        self.n_connections = n_connections
        self.n_accepted = 0
        self.slots = asyncio.Semaphore(n_slots)
        self.faults = UpstreamFaults(delay_s=delay_s)
        self.counters = UpstreamCounters()
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_path: Counter[str] = Counter()
        self.started_at = time.monotonic()

    def compute_run_time(self) -> float:
        """Return the run time of a request that starts now, in seconds."""
        uptime_s = time.monotonic() - self.started_at
        factor = 10.0 if uptime_s < self.faults.cold_start_s else 1.0
        return self.faults.delay_s * factor

    def count_run(self, *, path: str, key: str) -> None:
        """Count the start of a run.

        Parameters
        ----------
        path : str
            Path of the request.
        key : str
            Idempotency key; empty if the request has none.
        """
        self.counters.n_runs += 1
        self.runs_by_path[path] += 1
        if key:
            self.runs_by_key[key] += 1
