"""Splitting of INI text at its headers and parsing of single sections."""

from collections.abc import Iterator
from configparser import Error as ConfigParserError
from configparser import MissingSectionHeaderError, ParsingError, RawConfigParser
from dataclasses import dataclass

from foxtailway.config.finding import Defect, Finding
from foxtailway.config.value_kind import quote

__all__ = ["RawEntry", "RawSection", "SectionParser", "show_key", "split_sections"]

HEADER_BREAK = "\n["
MAX_HEADER_LENGTH = 80
MAX_SECTION_LINES = 1000
HEADER_DEFECT = "a header in square brackets that starts its line and ends it"


@dataclass(frozen=True, slots=True, kw_only=True)
class RawEntry:
    """Hold one key with its unparsed text.

    Parameters
    ----------
    key : str
        Key as written.
    text : str
        Text of the value.
    line : int
        Line in the section, the header's line is 1.
    """

    key: str
    text: str
    line: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RawSection:
    """Hold one section with unparsed values.

    Parameters
    ----------
    header : str
        Text between the brackets, quoted when it can't be a valid header;
        empty for text without a header.
    entries : tuple of RawEntry
        Distinct keys in the order of the file.
    findings : tuple of Finding
        Defects of form, among them duplicate keys.
    """

    header: str
    entries: tuple[RawEntry, ...]
    findings: tuple[Finding, ...]


class LocatingParser(RawConfigParser):
    """Record at which line each key stands, duplicates included."""

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
        """Forget all sections and lines."""
        for header in self.sections():
            self.remove_section(header)
        self.n_lines_read = 0
        self.key_lines = []

    def count_lines(self, text: str) -> Iterator[str]:
        """Yield the lines of `text` while counting them."""
        for line in text.split("\n"):
            self.n_lines_read += 1
            yield line


def split_sections(text: str) -> list[str]:
    r"""Split INI text in front of every line that starts with a bracket.

    The first part lacks a header when other lines precede the first one.

    Examples
    --------
    >>> split_sections("# note\n[mesh]\nname = a\n[site b]")
    ['# note', '[mesh]\nname = a', '[site b]']
    """
    first, *others = ("\n" + text).split(HEADER_BREAK)
    sections = ["[" + other for other in others]
    return [first[1:], *sections] if first else sections


class SectionParser:
    """Parse one section after the other with the standard library's parser.

    Its strict mode ends at the first duplicate, so duplicates are found from
    the keys that are recorded while it reads.
    """

    def __init__(self) -> None:
        self.parser = LocatingParser()

    def parse(self, text: str) -> RawSection:
        """Parse the text of one section.

        Parameters
        ----------
        text : str
            One part returned by `split_sections`.

        Returns
        -------
        RawSection
            Section with an empty header when the text holds none.
        """
        if text.count("\n") > MAX_SECTION_LINES:
            problem = f"the section has more than {MAX_SECTION_LINES} lines"
            return RawSection(
                header="", entries=(), findings=(make_form_finding(1, problem),)
            )
        self.parser.reset()
        findings = self.read_lines(text)
        headers = self.parser.sections()
        findings += check_header(text, headers)
        header = headers[0] if headers else ""
        shown_header = show_header(header)
        findings += find_duplicates(self.parser.key_lines, shown_header)
        return RawSection(
            header=shown_header,
            entries=collect_entries(self.parser, header),
            findings=tuple(findings),
        )

    def read_lines(self, text: str) -> list[Finding]:
        """Feed the lines to the parser and return defects of form."""
        try:
            self.parser.read_file(self.parser.count_lines(text))
        except MissingSectionHeaderError as error:
            if text.startswith("["):
                return []
            problem = "the line belongs to no section"
            return [make_form_finding(error.lineno, problem)]
        except ParsingError as error:
            problem = "the line is no 'key = value'"
            return [make_form_finding(line, problem) for line, _ in error.errors]
        except ConfigParserError:
            return [make_form_finding(1, "the section can't be parsed")]
        return []


def show_header(header: str) -> str:
    """Return a header that is fit for findings."""
    is_plain = header.isascii() and header.isprintable()
    return header if is_plain and len(header) <= MAX_HEADER_LENGTH else quote(header)


def show_key(key: str) -> str:
    """Return a key that is fit for findings."""
    is_plain = key.isascii() and key.replace(".", "").isidentifier()
    return key if is_plain and len(key) <= MAX_HEADER_LENGTH else quote(key)


def make_form_finding(line: int, problem: str) -> Finding:
    """Build a finding about a line that is neither header nor key."""
    allowed = f"comments, 'key = value' and {HEADER_DEFECT}"
    return Finding(
        source="",
        line=line,
        section="",
        key="",
        defect=Defect(problem=problem, allowed=allowed),
    )


def check_header(text: str, headers: list[str]) -> list[Finding]:
    """Find headers that are indented or followed by other text."""
    expected = f"[{headers[0]}]" if headers else None
    findings = []
    for number, line in enumerate(text.split("\n"), start=1):
        is_first = number == 1 and line.rstrip() == expected
        if line.lstrip().startswith("[") and not is_first:
            findings.append(make_form_finding(number, "this is no proper header"))
    return findings


def find_duplicates(key_lines: list[tuple[str, int]], header: str) -> list[Finding]:
    """Find keys that stand in a section more than once."""
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
                    key=show_key(key),
                    defect=defect,
                )
            )
    return findings


def collect_entries(parser: LocatingParser, header: str) -> tuple[RawEntry, ...]:
    """Return the distinct keys of the first section."""
    if not header:
        return ()
    lines = dict(reversed(parser.key_lines))
    return tuple(
        RawEntry(key=key, text=text, line=lines[key])
        for key, text in parser.items(header, raw=True)
    )
