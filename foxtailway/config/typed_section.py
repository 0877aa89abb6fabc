"""Sections whose keys were checked and whose values were typed."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from foxtailway.config.finding import Finding

__all__ = ["Entry", "Section", "Target"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Hold the value of one key.

    Parameters
    ----------
    text : str
        Text of the value.
    value : object
        Typed value.
    line : int
        Line in the section; the header's line for a default.
    """

    text: str
    value: Any
    line: int


class Target(NamedTuple):
    """Name a path prefix and a method that a route accepts."""

    path_prefix: str
    method: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """Hold one checked section.

    Parameters
    ----------
    header : str
        Text between the brackets; empty for text without a header.
    kind : str
        First word of the header; empty when it is unknown.
    name : str
        Name in the header; empty when there is none.
    n_lines : int
        Lines of the section.
    entries : Mapping of str to Entry
        Valid values by key.
    targets : tuple of Target
        What a route accepts; empty for other kinds.
    findings : tuple of Finding
        Defects, with lines counted in the section.
    """

    header: str
    kind: str
    name: str
    n_lines: int
    entries: Mapping[str, Entry]
    targets: tuple[Target, ...]
    findings: tuple[Finding, ...]

    @property
    def values(self) -> dict[str, Any]:
        """Return typed values by key."""
        return {key: entry.value for key, entry in self.entries.items()}

    def find_line(self, key: str) -> int:
        """Return the line of `key` in the section, else the header's line."""
        entry = self.entries.get(key)
        return 1 if entry is None else entry.line
