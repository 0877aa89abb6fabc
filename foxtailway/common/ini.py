"""INI documents whose sections and keys remember their lines."""

from collections.abc import Iterator, Mapping
from configparser import (
    DuplicateOptionError,
    DuplicateSectionError,
    MissingSectionHeaderError,
    ParsingError,
    RawConfigParser,
)
from dataclasses import dataclass

from foxtailway.common.finding import Finding

__all__ = ["IniDocument", "IniEntry", "IniSection", "parse_ini", "read_ini"]

MAX_ROUNDS = 50
PLACEHOLDER = "\0"


@dataclass(frozen=True, slots=True, kw_only=True)
class IniEntry:
    """Hold one key, its value and its line."""

    key: str
    value: str
    line: int


@dataclass(frozen=True, slots=True, kw_only=True)
class IniSection:
    """Hold one section, its entries by key and the line of its header."""

    name: str
    line: int
    entries: Mapping[str, IniEntry]


@dataclass(frozen=True, slots=True, kw_only=True)
class IniDocument:
    """Hold what could be read of a file and all faults of its syntax.

    Parameters
    ----------
    source : str
        Name of the file or key.
    sections : Mapping of str to IniSection
        Sections by name, in the order of the file.
    findings : tuple of Finding
        Faults in the order of their lines; the document must not be used
        unless this is empty.
    """

    source: str
    sections: Mapping[str, IniSection]
    findings: tuple[Finding, ...]


class TrackedKey(str):
    """Key that carries the line on which it was read."""

    __slots__ = ("line",)
    line: int


class LineCounter:
    """Iterate over lines and tell the number of the current one."""

    def __init__(self, *, lines: list[str]) -> None:
        self.lines = lines
        self.line = 0

    def __iter__(self) -> Iterator[str]:
        """Yield the lines."""
        for line, text in enumerate(self.lines, start=1):
            self.line = line
            yield text


class TrackingParser(RawConfigParser):
    """Strict parser that records where sections and keys were read."""

    def __init__(self, *, lines: list[str]) -> None:
        self.counter = LineCounter(lines=lines)
        self.section_lines: list[int] = []
        super().__init__(
            dict_type=self.make_mapping,
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            default_section=PLACEHOLDER,
            empty_lines_in_values=False,
        )

    def make_mapping(self) -> dict:
        """Return a mapping; the parser asks for one per new section."""
        if self.counter.line:
            self.section_lines.append(self.counter.line)
        return {}

    def optionxform(self, optionstr: str) -> str:
        """Return the key as written, with its line."""
        key = TrackedKey(optionstr)
        key.line = self.counter.line
        return key

    def parse(self) -> None:
        """Read the lines; raise `configparser.Error` for faults."""
        self.read_file(self.counter)

    def collect_sections(self) -> dict[str, IniSection]:
        """Return the sections that were read."""
        sections = {}
        for name, line in zip(self.sections(), self.section_lines, strict=True):
            if name.startswith(PLACEHOLDER):
                continue
            entries = {
                str(key): IniEntry(key=str(key), value=value, line=key.line)
                for key, value in self.items(name)
                if not key.startswith(PLACEHOLDER)
            }
            sections[name] = IniSection(name=name, line=line, entries=entries)
        return sections


class FaultCollector:
    """Parse again and again, replacing each faulty line by a placeholder."""

    def __init__(self, *, text: str, source: str) -> None:
        self.source = source
        self.lines = text.split("\n")
        self.findings: list[Finding] = []

    def collect(self) -> IniDocument:
        """Return the document with the faults of all lines."""
        self.replace_control_characters()
        for _ in range(MAX_ROUNDS):
            parser = TrackingParser(lines=self.lines)
            if self.try_parse(parser):
                return self.finish(parser.collect_sections())
        self.report(1, "", "", "too many faults; further ones are not shown")
        return self.finish({})

    def finish(self, sections: Mapping[str, IniSection]) -> IniDocument:
        """Return the document with sorted findings."""
        findings = tuple(sorted(self.findings, key=lambda finding: finding.line))
        return IniDocument(source=self.source, sections=sections, findings=findings)

    def report(self, line: int, section: str, key: str, detail: str) -> None:
        """Add a finding."""
        self.findings.append(
            Finding(
                source=self.source,
                line=line,
                section=section,
                key=key,
                detail=detail,
            )
        )

    def replace_control_characters(self) -> None:
        """Report lines with NUL, which marks placeholders, and blank them."""
        for index, text in enumerate(self.lines):
            if PLACEHOLDER in text:
                self.report(index + 1, "", "", "NUL character; text is allowed")
                self.lines[index] = ""

    def try_parse(self, parser: TrackingParser) -> bool:
        """Parse once; return False after a fault was reported and replaced."""
        try:
            parser.parse()
        except DuplicateSectionError as error:
            detail = "duplicate section; one of each name is allowed"
            self.report(error.lineno, error.section, "", detail)
            self.lines[error.lineno - 1] = f"[{PLACEHOLDER}{error.lineno}]"
        except DuplicateOptionError as error:
            detail = "duplicate key; one of each name per section is allowed"
            self.report(error.lineno, error.section, str(error.option), detail)
            self.replace_key(error.lineno)
        except MissingSectionHeaderError as error:
            detail = "text before the first section; a header [section] is needed"
            self.report(error.lineno, "", "", detail)
            self.lines[error.lineno - 1] = ""
        except ParsingError as error:
            for line, _ in error.errors:
                self.report(line, "", "", "neither a section nor key = value")
                self.replace_key(line)
        else:
            return True
        return False

    def replace_key(self, line: int) -> None:
        """Put a placeholder in a key's place, so that its value goes with it."""
        text = self.lines[line - 1]
        indent = text[: len(text) - len(text.lstrip())]
        self.lines[line - 1] = f"{indent}{PLACEHOLDER}{line} ="


def parse_ini(text: str, *, source: str) -> IniDocument:
    r"""Parse INI text; never raises.

    Keys keep their case, ``=`` separates keys from values, ``#`` and ``;``
    start comment lines, indented lines continue a value.

    Parameters
    ----------
    text : str
        Text of the file.
    source : str
        Name of the file or key, for the findings.

    Returns
    -------
    IniDocument
        Sections and findings.

    Examples
    --------
    >>> document = parse_ini("[mesh]\nname = a\nname = b", source="base")
    >>> [str(finding) for finding in document.findings]
    ['base:3: mesh.name: duplicate key; one of each name per section is allowed']
    """
    return FaultCollector(text=text, source=source).collect()


def read_ini(content: bytes, *, source: str, max_size: int) -> IniDocument:
    """Decode and parse an INI file; never raises.

    Parameters
    ----------
    content : bytes
        Content of the file.
    source : str
        Name of the file or key, for the findings.
    max_size : int
        Largest accepted content, in bytes.

    Returns
    -------
    IniDocument
        Sections and findings; no section when the content is too large, not
        UTF-8 or empty.
    """
    line = 1
    if len(content) > max_size:
        detail = f"{len(content)} bytes; at most {max_size} bytes are allowed"
    else:
        try:
            text = content.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            line = content.count(b"\n", 0, error.start) + 1
            detail = "not UTF-8; only UTF-8 text is allowed"
        else:
            if text.strip():
                return parse_ini(text, source=source)
            detail = "empty file; at least one section is needed"
    finding = Finding(source=source, line=line, section="", key="", detail=detail)
    return IniDocument(source=source, sections={}, findings=(finding,))
