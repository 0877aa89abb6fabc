"""Python processes that a test, an example or a benchmark starts and stops."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

__all__ = ["ProcessGroup"]

# Time that a process has to stop after SIGTERM.
STOP_TIMEOUT_S = 15.0


class ProcessGroup:
    """Group of processes that run Python modules.

    Parameters
    ----------
    log_folder : Path
        Folder for one log file of each process.
    """

    def __init__(self, *, log_folder: Path) -> None:
        self.log_folder = log_folder
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Start ``python -m module arguments`` and register it under a name."""
        log_path = self.log_folder / f"{name}.log"
        with log_path.open("ab") as log_file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and remove it from the group."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM, kill it at the timeout, return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return wait_or_kill(process)

    def is_running(self, name: str) -> bool:
        """Return whether a process is in the group and has not exited."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def read_log(self, name: str) -> str:
        """Return the output of a process, standard error included."""
        return (self.log_folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Stop all processes; a process stopped by SIGSTOP is resumed first."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            wait_or_kill(process)
        self.processes.clear()


def wait_or_kill(process: subprocess.Popen) -> int:
    """Wait until a process exits, kill it at the timeout, return its exit code."""
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
