"""Sections of a settings file, with findings at their lines."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.config.finding import Defect, Finding, shift_findings
from foxtailway.config.section_parser import (
    RawEntry,
    SectionParser,
    split_sections,
)

__all__ = ["DraftSection", "SettingsDraft"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DraftSection:
    """Hold one section.

    Parameters
    ----------
    line : int
        Line of the header.
    entries : Mapping of str to RawEntry
        Keys with their unparsed values; lines count from the file's start.
    """

    line: int
    entries: Mapping[str, RawEntry]


class SettingsDraft:
    """Split a settings file and collect findings about it.

    Parameters
    ----------
    source : str
        Name of the file.
    text : str
        Text of the file.

    Attributes
    ----------
    sections : dict of str to DraftSection
        Sections by header.
    findings : list of Finding
        Findings so far, those of the syntax first.
    """

    def __init__(self, *, source: str, text: str) -> None:
        self.source = source
        self.sections: dict[str, DraftSection] = {}
        self.findings: list[Finding] = []
        self.parser = SectionParser()
        n_lines = 0
        for part in split_sections(text):
            self.add_section(part, n_lines)
            n_lines += part.count("\n") + 1

    def add_section(self, text: str, n_lines: int) -> None:
        """Parse one section that has `n_lines` lines ahead of it."""
        raw = self.parser.parse(text)
        self.findings += shift_findings(
            raw.findings, source=self.source, n_lines=n_lines
        )
        if not raw.header:
            return
        if raw.header in self.sections:
            self.add(
                line=n_lines + 1,
                section=raw.header,
                key="",
                defect=Defect(
                    problem="the section is a duplicate", allowed="one such section"
                ),
            )
            return
        entries = {
            entry.key: RawEntry(
                key=entry.key, text=entry.text, line=entry.line + n_lines
            )
            for entry in raw.entries
        }
        self.sections[raw.header] = DraftSection(line=n_lines + 1, entries=entries)

    def find(self, section: str, key: str) -> RawEntry | None:
        """Return the entry of a key; None when it is missing."""
        found = self.sections.get(section)
        return None if found is None else found.entries.get(key)

    def report(self, section: str, key: str, defect: Defect) -> None:
        """Add a finding at the line of the key, its section or the file."""
        entry = self.find(section, key)
        line = 1
        if entry is not None:
            line = entry.line
        elif section in self.sections:
            line = self.sections[section].line
        self.add(line=line, section=section, key=key, defect=defect)

    def add(self, *, line: int, section: str, key: str, defect: Defect) -> None:
        """Add a finding at a known line."""
        self.findings.append(
            Finding(
                source=self.source, line=line, section=section, key=key, defect=defect
            )
        )
