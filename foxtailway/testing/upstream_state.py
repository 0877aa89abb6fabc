"""State of the stand-in of an upstream."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

__all__ = ["UpstreamCounters", "UpstreamFaults", "UpstreamState"]


@dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Behaviour that tests change while the stand-in runs.

    Parameters
    ----------
    delay_s : float
        Time for which a run holds its slot, in seconds.
    cold_start_s : float
        Time after the start during which runs take ten times as long.
    is_draining : bool
        Whether new requests are refused with status 503.
    is_reported_healthy : bool
        What ``/health`` tells, whether it is true or not.
    """

    delay_s: float = 0.0
    cold_start_s: float = 0.0
    is_draining: bool = False
    is_reported_healthy: bool = True


@dataclass(slots=True, kw_only=True)
class UpstreamCounters:
    """What the stand-in did since its start.

    Parameters
    ----------
    n_runs : int
        Requests that got a slot and ran.
    n_running : int
        Requests that hold a slot now.
    n_most_running : int
        Largest number of requests that held a slot at a time.
    n_shed : int
        Requests refused with status 503 without a run.
    n_abandoned : int
        Requests whose caller hung up.
    """

    n_runs: int = 0
    n_running: int = 0
    n_most_running: int = 0
    n_shed: int = 0
    n_abandoned: int = 0


class UpstreamState:
    """Hold the slots, the faults and the counters.

    Parameters
    ----------
    name : str
        Name told in every answer.
    n_slots : int
        Requests that run at a time.
    n_connections : int
        Requests that run or wait at a time; further ones are refused.
    delay_s : float
        Initial time for which a run holds its slot, in seconds.
    """

    def __init__(
        self, *, name: str, n_slots: int, n_connections: int, delay_s: float
    ) -> None:
        self.name = name
        self.n_connections = n_connections
        self.n_open = 0
        self.slots = asyncio.Semaphore(n_slots)
        self.faults = UpstreamFaults(delay_s=delay_s)
        self.counters = UpstreamCounters()
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_path: Counter[str] = Counter()
        self.start_s = time.monotonic()

    def find_delay(self) -> float:
        """Return the time that a run takes now, in seconds."""
        age_s = time.monotonic() - self.start_s
        factor = 10.0 if age_s < self.faults.cold_start_s else 1.0
        return self.faults.delay_s * factor

    def count_run(self, *, path: str, key: str) -> None:
        """Count the start of a run."""
        self.counters.n_runs += 1
        self.runs_by_path[path] += 1
        if key:
            self.runs_by_key[key] += 1
