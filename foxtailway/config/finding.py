"""Findings about a configuration, each with its place and its remedy."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = ["Defect", "Finding", "shift_findings", "sort_findings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Defect:
    """Say what is wrong with one value and what is allowed instead.

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
        """Return problem and remedy as one line of text."""
        return f"{self.problem}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """Locate one defect of a document.

    Parameters
    ----------
    source : str
        Key of the document, or file name for the operator command.
    line : int
        Line number, the first line is 1.
    section : str
        Header of the section without brackets; empty outside of sections.
    key : str
        Key in the section; empty for the section itself.
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
        place = f"{self.section}.{self.key}" if self.key else self.section
        subject = f"{place}: " if place else ""
        return f"{self.source}:{self.line}: {subject}{self.defect}"


def shift_findings(
    findings: Iterable[Finding], *, source: str, n_lines: int
) -> list[Finding]:
    """Move findings of a section to their place in a document.

    Parameters
    ----------
    findings : iterable of Finding
        Findings whose lines count from the start of the section.
    source : str
        Key of the document.
    n_lines : int
        Lines of the document ahead of the section.

    Returns
    -------
    list of Finding
        Findings whose lines count from the start of the document.
    """
    return [
        replace(finding, source=source, line=finding.line + n_lines)
        for finding in findings
    ]


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Return distinct findings in the order of documents and lines."""
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
