"""Runner of the unit tests that tolerates known failures only."""

import argparse
import logging
import os
import subprocess
import sys
import time
import unittest
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from hypothesis import settings

from foxtailway.testing.known_failures import parse_known_failures

__all__ = ["main"]

# List of known failures, in the working directory.
KNOWN_FAILURES_PATH = Path("KNOWN-RED.txt")
# Time after which the tests of one module are ended, in seconds.
MODULE_TIMEOUT_S = 900.0
# Exit status of a module whose tests have failed.
EXIT_FAILED = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class ModuleResult:
    """Result of the tests of one module.

    Parameters
    ----------
    name : str
        Module.
    is_successful : bool
        Whether no test failed unexpectedly, and no known failure passed.
    output : str
        Output of the tests.
    duration_s : float
        Time that they took, in seconds.
    """

    name: str
    is_successful: bool
    output: str
    duration_s: float


def load_known_ids() -> frozenset[str]:
    """Return the identifiers of the tests in ``KNOWN-RED.txt``."""
    if not KNOWN_FAILURES_PATH.exists():
        return frozenset()
    entries = parse_known_failures(KNOWN_FAILURES_PATH.read_text().splitlines())
    return frozenset(entry.test_id for entry in entries)


def print_known_failures() -> None:
    """Print the entries of ``KNOWN-RED.txt``."""
    if KNOWN_FAILURES_PATH.exists():
        lines = KNOWN_FAILURES_PATH.read_text().splitlines()
        for entry in parse_known_failures(lines):
            print(f"known red: {entry.test_id}: {entry.note}")


def list_tests(suite: Iterable) -> Iterator[unittest.TestCase]:
    """Return the tests of a suite and of the suites in it."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from list_tests(test)
        else:
            yield test


def run_module(name: str) -> int:
    """Run the tests of one module in this process and return the exit code.

    Known failures are marked as expected failures; a pass then fails the run.
    """
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    known_ids = load_known_ids()
    for test in list_tests(suite):
        if test.id() in known_ids:
            unittest.expectedFailure(test)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    return 0 if result.wasSuccessful() else EXIT_FAILED


def spawn_module(name: str) -> ModuleResult:
    """Run the tests of one module in a process of its own."""
    started_at = time.monotonic()
    command = (sys.executable, "-m", __spec__.name, "--module", name)
    try:
        process = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            timeout=MODULE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as error:
        output = f"{error.stdout or b''!r}\nended after {MODULE_TIMEOUT_S} s"
        is_successful = False
    else:
        output = process.stdout
        is_successful = process.returncode == 0
    return ModuleResult(
        name=name,
        is_successful=is_successful,
        output=output,
        duration_s=time.monotonic() - started_at,
    )


def run_all(n_jobs: int) -> int:
    """Run all tests below ``foxtailway``, the modules side by side.

    Returns the exit code. A module that can't be imported is one failed test.

    Parameters
    ----------
    n_jobs : int
        Modules that run at a time.
    """
    print_known_failures()
    suite = unittest.defaultTestLoader.discover("foxtailway", top_level_dir=".")
    n_tests = Counter(find_module(test) for test in list_tests(suite))
    failed: list[ModuleResult] = []
    with ThreadPoolExecutor(n_jobs) as executor:
        for result in executor.map(spawn_module, sorted(n_tests)):
            state = "ok" if result.is_successful else "FAILED"
            print(
                f"{state:6} {n_tests[result.name]:4} {result.duration_s:6.1f} s"
                f" {result.name}",
                flush=True,
            )
            if not result.is_successful:
                failed.append(result)
                print(result.output)
    n_failed = sum(n_tests[result.name] for result in failed)
    print(f"{n_tests.total() - n_failed} passed, {n_failed} failed")
    return EXIT_FAILED if failed else 0


def find_module(test: unittest.TestCase) -> str:
    """Return the module of a test, also of one that can't be imported."""
    name = type(test).__module__
    return test.id().rpartition(".")[2] if name == "unittest.loader" else name


def main(arguments: list[str] | None = None) -> int:
    """Run the tests with command-line arguments and return the exit code."""
    parser = argparse.ArgumentParser(description="Run the unit tests.")
    parser.add_argument("--module", help="module to run in this process (default: all)")
    parser.add_argument(
        "--jobs",
        type=int,
        default=max(1, (os.cpu_count() or 1) // 2),
        help="modules that run at a time (default: half of the processors)",
    )
    options = parser.parse_args(arguments)
    if options.module is not None:
        return run_module(options.module)
    return run_all(options.jobs)


if __name__ == "__main__":
    sys.exit(main())
