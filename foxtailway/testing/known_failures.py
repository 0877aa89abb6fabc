"""Tests that are known to fail, listed in ``KNOWN-RED.txt``."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["KnownFailure", "parse_known_failures"]


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownFailure:
    """Test that fails because of a recorded fault.

    Parameters
    ----------
    test_id : str
        Identifier of the test, as returned by `unittest.TestCase.id`.
    note : str
        Description of the fault.
    """

    test_id: str
    note: str


def parse_known_failures(lines: Iterable[str]) -> tuple[KnownFailure, ...]:
    """Return the entries of ``KNOWN-RED.txt``.

    An entry is one line: the identifier of the test, a space and the note.
    Empty lines and lines that start with ``#`` are skipped.

    Parameters
    ----------
    lines : iterable of str
        Lines of the file.

    Returns
    -------
    tuple of KnownFailure
        Entries in the order of the file.

    Examples
    --------
    >>> parse_known_failures(["# comment", "pkg.Test.test_a seed 3, issue 4"])
    (KnownFailure(test_id='pkg.Test.test_a', note='seed 3, issue 4'),)
    """
    entries = []
    for line in lines:
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        test_id, _, note = text.partition(" ")
        entries.append(KnownFailure(test_id=test_id, note=note))
    return tuple(entries)
