"""CPU time and memory of a process, as reported by the kernel."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["ProcessUsage", "read_usage"]

BYTES_PER_KIB = 1024
# Index of utime in /proc/PID/stat, counted from the field after the command name.
USER_TIME_FIELD = 11
# Index of stime, counted in the same way.
SYSTEM_TIME_FIELD = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessUsage:
    """CPU time and memory of a process.

    Parameters
    ----------
    cpu_s : float
        User and system CPU time since the start, in seconds.
    resident_bytes : int
        Resident set size in bytes.
    """

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the CPU time and memory of a process.

    Parameters
    ----------
    pid : int
        Process identifier.

    Returns
    -------
    ProcessUsage
        Usage at the time of the call.

    Raises
    ------
    FileNotFoundError
        If there is no process with the identifier.

    References
    ----------
    Manual page proc(5), files ``stat`` and ``status``.
    """
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    resident_kib = 0
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            resident_kib = int(line.split()[1])
    return ProcessUsage(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_bytes=resident_kib * BYTES_PER_KIB,
    )
