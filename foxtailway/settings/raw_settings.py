"""Settings files split into sections, with unparsed values."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.config.finding import Defect, Finding, shift_findings
from foxtailway.config.section_parser import (
    RawEntry,
    SectionParser,
    split_sections,
)

__all__ = ["RawSettings", "RawSettingsSection"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RawSettingsSection:
    """One section of a settings file with unparsed values.

    Parameters
    ----------
    line : int
        Line number of the header in the file.
    entries : Mapping of str to RawEntry
        Unparsed values by key; line numbers are those of the file.
    """

    line: int
    entries: Mapping[str, RawEntry]


class RawSettings:
    """Sections of a settings file, and the findings collected about it.

    Parameters
    ----------
    source : str
        Name of the file, for the findings.
    text : str
        Content of the file.

    Attributes
    ----------
    sections : dict of str to RawSettingsSection
        Sections by header; the first one if a header is repeated.
    findings : list of Finding
        Findings so far; those about the syntax come first.
    """

    def __init__(self, *, source: str, text: str) -> None:
        self.source = source
        self.sections: dict[str, RawSettingsSection] = {}
        self.findings: list[Finding] = []
        self.parser = SectionParser()
        n_lines_before = 0
        for part in split_sections(text):
            self.add_section(part, n_lines_before)
            n_lines_before += part.count("\n") + 1

    def add_section(self, text: str, n_lines_before: int) -> None:
        """Parse one section, which has `n_lines_before` lines of the file before it."""
        raw = self.parser.parse(text)
        self.findings += shift_findings(
            raw.findings, source=self.source, n_lines_before=n_lines_before
        )
        if not raw.header:
            return
        if raw.header in self.sections:
            self.add_finding(
                line=n_lines_before + 1,
                section=raw.header,
                key="",
                defect=Defect(
                    problem="the section is a duplicate", allowed="one such section"
                ),
            )
            return
        entries = {
            entry.key: RawEntry(
                key=entry.key, text=entry.text, line=entry.line + n_lines_before
            )
            for entry in raw.entries
        }
        self.sections[raw.header] = RawSettingsSection(
            line=n_lines_before + 1, entries=entries
        )

    def find_entry(self, section: str, key: str) -> RawEntry | None:
        """Return the entry of a key, or None if it is absent."""
        raw_section = self.sections.get(section)
        return None if raw_section is None else raw_section.entries.get(key)

    def report_defect(self, section: str, key: str, defect: Defect) -> None:
        """Add a finding at the line of the key, else of its section, else at line 1."""
        entry = self.find_entry(section, key)
        line = 1
        if entry is not None:
            line = entry.line
        elif section in self.sections:
            line = self.sections[section].line
        self.add_finding(line=line, section=section, key=key, defect=defect)

    def add_finding(self, *, line: int, section: str, key: str, defect: Defect) -> None:
        """Add a finding at a given line."""
        self.findings.append(
            Finding(
                source=self.source, line=line, section=section, key=key, defect=defect
            )
        )
