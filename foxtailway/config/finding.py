"""Findings: defects of a document with their location."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = ["Defect", "Finding", "shift_findings", "sort_findings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Defect:
    """A defect and what is allowed instead.

    Parameters
    ----------
    problem : str
        What is wrong.
    allowed : str
        What is allowed instead.
    """

    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the defect as one line of text."""
        return f"{self.problem}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A defect and its location in a document.

    Parameters
    ----------
    source : str
        Key of the document, or the name of the file that it was read from.
    line : int
        Line number; the first line is 1.
    section : str
        Header of the section without brackets; empty outside a section.
    key : str
        Key in the section; empty for a finding about the whole section.
    defect : Defect
        What is wrong and what is allowed.

    Examples
    --------
    >>> defect = Defect(problem="'2' has no unit", allowed="1ms to 5min")
    >>> print(
    ...     Finding(
    ...         source="base.ini",
    ...         line=7,
    ...         section="route slots",
    ...         key="timeout",
    ...         defect=defect,
    ...     )
    ... )
    base.ini:7: route slots.timeout: '2' has no unit; allowed: 1ms to 5min
    """

    source: str
    line: int
    section: str
    key: str
    defect: Defect

    def __str__(self) -> str:
        """Return ``FILE:LINE: section.key: defect``."""
        path = f"{self.section}.{self.key}" if self.key else self.section
        prefix = f"{path}: " if path else ""
        return f"{self.source}:{self.line}: {prefix}{self.defect}"


def shift_findings(
    findings: Iterable[Finding], *, source: str, n_lines_before: int
) -> list[Finding]:
    """Convert findings of a section to findings of its document.

    Parameters
    ----------
    findings : iterable of Finding
        Findings with line numbers relative to the section.
    source : str
        Key of the document.
    n_lines_before : int
        Number of lines of the document before the section.

    Returns
    -------
    list of Finding
        Findings with line numbers relative to the document.
    """
    return [
        replace(finding, source=source, line=finding.line + n_lines_before)
        for finding in findings
    ]


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Return the distinct findings, sorted by document and line."""
    return tuple(
        sorted(
            set(findings),
            key=lambda finding: (
                finding.source,
                finding.line,
                finding.section,
                finding.key,
                str(finding.defect),
            ),
        )
    )
