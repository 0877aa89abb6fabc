"""Times for which the machine did not run a process that was ready to run."""

from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Stall", "StallMonitor"]

# Shortest time in a run queue that is reported, in seconds.
MIN_STALL_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Stall:
    """Time that a process spent in a run queue between two observations.

    Parameters
    ----------
    process : str
        Name of the process.
    at : float
        Monotonic time of the second observation, in seconds.
    wait_s : float
        Time in the run queue, in seconds.
    """

    process: str
    at: float
    wait_s: float


class StallMonitor:
    """Monitor of the time that processes wait for a processor.

    The checks do not use it. It tells a failure of a bound on a busy machine from one
    of the code under test.

    Attributes
    ----------
    stalls : list of Stall
        Long waits that were seen.
    """

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self.waits_ns: dict[str, int] = {}

    def observe(self, process: str, pid: int, now: float) -> None:
        """Read the wait of a process; without that figure, nothing is recorded."""
        with suppress(OSError, ValueError, IndexError):
            wait_ns = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
            wait_s = (wait_ns - self.waits_ns.get(process, wait_ns)) / 1e9
            self.waits_ns[process] = wait_ns
            if wait_s >= MIN_STALL_S:
                self.stalls.append(Stall(process=process, at=now, wait_s=wait_s))
