"""Splitting of INI text into sections and parsing of single sections."""

from collections.abc import Iterator
from configparser import Error as ConfigParserError
from configparser import MissingSectionHeaderError, ParsingError, RawConfigParser
from dataclasses import dataclass

from foxtailway.config.finding import Defect, Finding
from foxtailway.config.value_kind import quote

__all__ = ["RawEntry", "RawSection", "SectionParser", "format_key", "split_sections"]

HEADER_SEPARATOR = "\n["
# Longest header or key that a finding shows without quotes and truncation.
MAX_UNQUOTED_CHARS = 80
# Lines of one section after its header, comments included; a longer section is not
# parsed.
MAX_SECTION_LINES = 1000
HEADER_DESCRIPTION = "a header in square brackets, unindented and alone on its line"


@dataclass(frozen=True, slots=True, kw_only=True)
class RawEntry:
    """One key with its unparsed value.

    Parameters
    ----------
    key : str
        Key as written.
    text : str
        Text of the value.
    line : int
        Line number in the section, where the header is line 1.
    """

    key: str
    text: str
    line: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RawSection:
    """One section with unparsed values.

    Parameters
    ----------
    header : str
        Text between the brackets, quoted if it cannot be a valid header;
        empty for text without a header.
    entries : tuple of RawEntry
        Distinct keys in the order of the file.
    findings : tuple of Finding
        Findings about the syntax and about duplicate keys.
    """

    header: str
    entries: tuple[RawEntry, ...]
    findings: tuple[Finding, ...]


class LineTrackingParser(RawConfigParser):
    """Parser that records the line of each key, duplicates included."""

    def __init__(self) -> None:
        super().__init__(
            default_section="",
            delimiters=("=",),
            strict=False,
            empty_lines_in_values=False,
        )
        self.n_lines_read = 0
        self.key_lines: list[tuple[str, int]] = []

    def optionxform(self, optionstr: str) -> str:
        """Record the line of a key and keep its case."""
        self.key_lines.append((optionstr, self.n_lines_read))
        return optionstr

    def reset(self) -> None:
        """Discard all sections and lines."""
        for header in self.sections():
            self.remove_section(header)
        self.n_lines_read = 0
        self.key_lines = []

    def iterate_lines(self, text: str) -> Iterator[str]:
        """Yield the lines of `text` and count them in `n_lines_read`."""
        for line in text.split("\n"):
            self.n_lines_read += 1
            yield line


def split_sections(text: str) -> list[str]:
    r"""Split INI text before each line that starts with a bracket.

    The first part has no header if other lines precede the first header.

    Examples
    --------
    >>> split_sections("# note\n[mesh]\nname = a\n[site b]")
    ['# note', '[mesh]\nname = a', '[site b]']
    """
    first, *others = ("\n" + text).split(HEADER_SEPARATOR)
    sections = ["[" + other for other in others]
    return [first[1:], *sections] if first else sections


class SectionParser:
    """Parser of single sections, based on the parser of the standard library.

    The strict mode of that parser stops at the first duplicate key, so it is off,
    and duplicates are found among the keys recorded during parsing.
    """

    def __init__(self) -> None:
        self.parser = LineTrackingParser()

    def parse(self, text: str) -> RawSection:
        """Parse the text of one section.

        Parameters
        ----------
        text : str
            One part returned by `split_sections`.

        Returns
        -------
        RawSection
            Section; its header is empty if the text has no valid header or too
            many lines.
        """
        if text.count("\n") > MAX_SECTION_LINES:
            problem = f"the section has more than {MAX_SECTION_LINES} lines"
            return RawSection(
                header="", entries=(), findings=(make_syntax_finding(1, problem),)
            )
        self.parser.reset()
        findings = self.read_lines(text)
        headers = self.parser.sections()
        findings += check_header(text, headers)
        header = headers[0] if headers else ""
        formatted_header = format_header(header)
        findings += find_duplicate_keys(self.parser.key_lines, formatted_header)
        return RawSection(
            header=formatted_header,
            entries=collect_entries(self.parser, header),
            findings=tuple(findings),
        )

    def read_lines(self, text: str) -> list[Finding]:
        """Parse the lines and return the findings about their syntax."""
        try:
            self.parser.read_file(self.parser.iterate_lines(text))
        except MissingSectionHeaderError as error:
            if text.startswith("["):
                return []
            problem = "the line is outside any section"
            return [make_syntax_finding(error.lineno, problem)]
        except ParsingError as error:
            problem = "the line is not 'key = value'"
            return [make_syntax_finding(line, problem) for line, _ in error.errors]
        except ConfigParserError:
            return [make_syntax_finding(1, "the section cannot be parsed")]
        return []


def format_header(header: str) -> str:
    """Return a header as findings show it: plain ASCII, else quoted."""
    is_plain = header.isascii() and header.isprintable()
    return header if is_plain and len(header) <= MAX_UNQUOTED_CHARS else quote(header)


def format_key(key: str) -> str:
    """Return a key as findings show it: a dotted identifier, else quoted."""
    is_plain = key.isascii() and key.replace(".", "").isidentifier()
    return key if is_plain and len(key) <= MAX_UNQUOTED_CHARS else quote(key)


def make_syntax_finding(line: int, problem: str) -> Finding:
    """Return a finding about a line that is not a valid header, key or comment."""
    allowed = f"comments, 'key = value' and {HEADER_DESCRIPTION}"
    return Finding(
        source="",
        line=line,
        section="",
        key="",
        defect=Defect(problem=problem, allowed=allowed),
    )


def check_header(text: str, headers: list[str]) -> list[Finding]:
    """Return a finding for each header that is indented or followed by other text."""
    expected = f"[{headers[0]}]" if headers else None
    findings = []
    for number, line in enumerate(text.split("\n"), start=1):
        is_first = number == 1 and line.rstrip() == expected
        if line.lstrip().startswith("[") and not is_first:
            findings.append(
                make_syntax_finding(number, "the section header is malformed")
            )
    return findings


def find_duplicate_keys(key_lines: list[tuple[str, int]], header: str) -> list[Finding]:
    """Return a finding for each repetition of a key in a section."""
    findings = []
    first_lines: dict[str, int] = {}
    for key, line in key_lines:
        first_line = first_lines.setdefault(key, line)
        if first_line != line:
            defect = Defect(problem="the key is a duplicate", allowed="one such key")
            findings.append(
                Finding(
                    source="",
                    line=line,
                    section=header,
                    key=format_key(key),
                    defect=defect,
                )
            )
    return findings


def collect_entries(parser: LineTrackingParser, header: str) -> tuple[RawEntry, ...]:
    """Return the distinct keys of the section with the given header.

    The line of a duplicate key is that of its first occurrence.
    """
    if not header:
        return ()
    lines = dict(reversed(parser.key_lines))
    return tuple(
        RawEntry(key=key, text=text, line=lines[key])
        for key, text in parser.items(header, raw=True)
    )
