"""Runner of the unit tests that tolerates known failures only."""

import logging
import sys
import unittest
from pathlib import Path

from hypothesis import settings

from foxtailway.testing.known_failures import parse_known_failures

__all__ = ["main"]

# List of known failures, in the working directory.
KNOWN_FAILURES_PATH = Path("KNOWN-RED.txt")


def load_known_ids() -> frozenset[str]:
    """Print the entries of ``KNOWN-RED.txt`` and return the test identifiers."""
    if not KNOWN_FAILURES_PATH.exists():
        return frozenset()
    entries = parse_known_failures(KNOWN_FAILURES_PATH.read_text().splitlines())
    for entry in entries:
        print(f"known red: {entry.test_id}: {entry.note}")
    return frozenset(entry.test_id for entry in entries)


def mark_known_failures(suite: unittest.TestSuite, known_ids: frozenset[str]) -> None:
    """Mark the listed tests as expected failures; a pass then fails the run."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            mark_known_failures(test, known_ids)
        elif test.id() in known_ids:
            unittest.expectedFailure(test)


def main() -> int:
    """Run all tests below ``foxtailway`` and return the exit code."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    suite = unittest.defaultTestLoader.discover("foxtailway", top_level_dir=".")
    mark_known_failures(suite, load_known_ids())
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
