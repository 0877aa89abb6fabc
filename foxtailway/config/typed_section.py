"""Sections with checked keys and parsed values."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from foxtailway.config.finding import Finding

__all__ = ["Entry", "RouteMatch", "Section"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """The value of one key.

    Parameters
    ----------
    text : str
        Text of the value as written.
    value : object
        Parsed value; its type depends on the key.
    line : int
        Line number in the section, where the header is line 1; 1 for a default.
    """

    text: str
    value: Any
    line: int


class RouteMatch(NamedTuple):
    """A path prefix and a method that a route matches."""

    path_prefix: str
    method: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """One checked section.

    Parameters
    ----------
    header : str
        Text between the brackets; empty for text without a header.
    kind : str
        First word of the header; empty if the header is invalid.
    name : str
        Name in the header; empty if there is none.
    n_lines : int
        Number of lines of the section.
    entries : Mapping of str to Entry
        Valid values by key, including the defaults in a base file.
    route_matches : tuple of RouteMatch
        Requests that a route matches; empty for other kinds.
    findings : tuple of Finding
        Findings; line numbers count from the header, which is line 1.
    """

    header: str
    kind: str
    name: str
    n_lines: int
    entries: Mapping[str, Entry]
    route_matches: tuple[RouteMatch, ...]
    findings: tuple[Finding, ...]

    @property
    def values(self) -> dict[str, Any]:
        """Return the parsed values by key."""
        return {key: entry.value for key, entry in self.entries.items()}

    def find_line(self, key: str) -> int:
        """Return the line number of `key`, or 1 (the header) if the key is absent."""
        entry = self.entries.get(key)
        return 1 if entry is None else entry.line
