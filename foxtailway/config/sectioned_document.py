"""Documents split into sections, with reuse of sections already read."""

from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from foxtailway.config.finding import Defect, Finding, shift_findings
from foxtailway.config.section_parser import split_sections
from foxtailway.config.section_reader import SectionReader
from foxtailway.config.typed_section import Section
from foxtailway.model.bundle import Document

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "LocatedSection",
    "SectionedDocument",
    "decode_document",
    "read_document",
]

MAX_DOCUMENT_BYTES = 1_000_000
MAX_SECTIONS = 8000
MAX_FINDINGS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class LocatedSection:
    """Place a section in its document.

    Parameters
    ----------
    section : Section
        Checked section.
    n_lines_ahead : int
        Lines of the document ahead of the section.
    """

    section: Section
    n_lines_ahead: int

    @property
    def n_lines_through(self) -> int:
        """Return the lines of the document up to the end of the section."""
        return self.n_lines_ahead + self.section.n_lines


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionedDocument:
    """Hold a document as sections.

    Parameters
    ----------
    key : str
        Key of the document.
    digest : bytes
        Digest of the content.
    texts : list of str
        Texts of the sections in the order of the document.
    sections : list of LocatedSection
        Sections in the same order.
    by_text : Mapping of str to LocatedSection
        Sections by their text, for reuse with the next version.
    fresh : list of LocatedSection
        Sections that the earlier version did not hold.
    findings : tuple of Finding
        Defects of the document and of its single sections.
    """

    key: str
    digest: bytes
    texts: list[str]
    sections: list[LocatedSection]
    by_text: Mapping[str, LocatedSection]
    fresh: list[LocatedSection]
    findings: tuple[Finding, ...]

    def make_finding(
        self, located: LocatedSection, *, key: str, problem: str, allowed: str
    ) -> Finding:
        """Build a finding about a key of a section."""
        return Finding(
            source=self.key,
            line=located.n_lines_ahead + located.section.find_line(key),
            section=located.section.header,
            key=key,
            defect=Defect(problem=problem, allowed=allowed),
        )

    def make_duplicate_finding(self, located: LocatedSection) -> Finding:
        """Build the finding about a header that stands in the document before."""
        return self.make_finding(
            located,
            key="",
            problem="the section is a duplicate",
            allowed="one such section",
        )


def decode_document(document: Document) -> Result[str, Finding]:
    """Decode a document, or say why it can't be read.

    Parameters
    ----------
    document : Document
        Base file or overlay.

    Returns
    -------
    Result
        Text, or a finding about size, emptiness or encoding.
    """
    content = document.content
    if len(content) > MAX_DOCUMENT_BYTES:
        problem = f"the file has more than {MAX_DOCUMENT_BYTES} bytes"
        return Error(make_file_finding(document, 1, problem))
    if not content.strip():
        return Error(make_file_finding(document, 1, "the file is empty"))
    try:
        return Ok(content.decode())
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        return Error(make_file_finding(document, line, "the bytes are not UTF-8"))


def make_file_finding(document: Document, line: int, problem: str) -> Finding:
    """Build a finding about a file as a whole."""
    allowed = f"sections in UTF-8, 1 to {MAX_DOCUMENT_BYTES} bytes"
    return Finding(
        source=document.key,
        line=line,
        section="",
        key="",
        defect=Defect(problem=problem, allowed=allowed),
    )


class DocumentDraft:
    """Collect sections while a document is read.

    Parameters
    ----------
    document : Document
        Document that is read.
    reader : SectionReader
        Reader of fresh sections.
    earlier : SectionedDocument or None
        Earlier version without findings.
    """

    def __init__(
        self,
        *,
        document: Document,
        reader: SectionReader,
        earlier: SectionedDocument | None,
    ) -> None:
        self.document = document
        self.reader = reader
        self.known = {} if earlier is None else earlier.by_text
        self.earlier_texts = [] if earlier is None else earlier.texts
        self.earlier_sections = [] if earlier is None else earlier.sections
        self.texts: list[str] = []
        self.sections: list[LocatedSection] = []
        self.fresh: list[LocatedSection] = []
        self.findings: list[Finding] = []
        self.n_lines = 0

    def read(self, texts: list[str]) -> None:
        """Take over what precedes and follows the edit and read the rest."""
        self.texts = texts
        n_head = count_common(texts, self.earlier_texts)
        self.sections = self.earlier_sections[:n_head]
        if self.sections:
            self.n_lines = self.sections[-1].n_lines_through
        n_tail = self.count_tail(n_head)
        for text in texts[n_head : len(texts) - n_tail]:
            if not self.append(text):
                return
        if n_tail:
            self.sections += self.shift_sections(self.earlier_sections[-n_tail:])

    def count_tail(self, n_head: int) -> int:
        """Return the number of unchanged sections at the end."""
        if len(self.texts) > MAX_SECTIONS:
            return 0
        ending = self.texts[n_head:]
        earlier_ending = self.earlier_texts[n_head:]
        return count_common(ending[::-1], earlier_ending[::-1])

    def shift_sections(self, sections: list[LocatedSection]) -> list[LocatedSection]:
        """Move earlier sections to the place where the document now stands."""
        n_added = self.n_lines - sections[0].n_lines_ahead
        if not n_added:
            return sections
        return [
            LocatedSection(
                section=located.section, n_lines_ahead=located.n_lines_ahead + n_added
            )
            for located in sections
        ]

    def append(self, text: str) -> bool:
        """Add the next section; return False when the document is excessive."""
        if len(self.sections) >= MAX_SECTIONS or len(self.findings) >= MAX_FINDINGS:
            self.findings.append(make_limit_finding(self.document, self.n_lines + 1))
            return False
        located = self.known.get(text)
        if located is None:
            section = self.reader.read(text)
            located = LocatedSection(section=section, n_lines_ahead=self.n_lines)
            self.fresh.append(located)
        elif located.n_lines_ahead != self.n_lines:
            section = located.section
            located = LocatedSection(section=section, n_lines_ahead=self.n_lines)
        self.sections.append(located)
        if located.section.findings:
            self.findings += shift_findings(
                located.section.findings,
                source=self.document.key,
                n_lines=self.n_lines,
            )
        self.n_lines = located.n_lines_through
        return True

    def finish(self) -> SectionedDocument:
        """Return the document."""
        return SectionedDocument(
            key=self.document.key,
            digest=self.document.digest,
            texts=self.texts,
            sections=self.sections,
            by_text=dict(zip(self.texts, self.sections, strict=False)),
            fresh=self.fresh,
            findings=tuple(self.findings),
        )


def read_document(
    document: Document,
    *,
    reader_type: type[SectionReader],
    previous: SectionedDocument | None,
) -> SectionedDocument:
    """Split a document and read the sections that are new.

    Parameters
    ----------
    document : Document
        Base file or overlay.
    reader_type : type of SectionReader
        Reader of the document's sections.
    previous : SectionedDocument or None
        Earlier version without findings, whose unchanged sections are reused.

    Returns
    -------
    SectionedDocument
        Sections and the findings about them.
    """
    if previous is not None and previous.digest == document.digest:
        return previous
    decoded = decode_document(document)
    if decoded.is_error():
        return SectionedDocument(
            key=document.key,
            digest=document.digest,
            texts=[],
            sections=[],
            by_text={},
            fresh=[],
            findings=(decoded.error,),
        )
    draft = DocumentDraft(document=document, reader=reader_type(), earlier=previous)
    draft.read(split_sections(decoded.ok))
    return draft.finish()


def count_common(texts: list[str], others: list[str]) -> int:
    """Return how many texts two lists have in common at their start.

    Examples
    --------
    >>> count_common(["a", "b", "c"], ["a", "b", "d", "e"])
    2
    """
    n_common = 0
    n_open = min(len(texts), len(others))
    while n_open:
        n_tried = (n_open + 1) // 2
        end = n_common + n_tried
        if texts[n_common:end] == others[n_common:end]:
            n_common = end
            n_open -= n_tried
        else:
            n_open = n_tried - 1
    return n_common


def make_limit_finding(document: Document, line: int) -> Finding:
    """Build the finding that ends the reading of an excessive document."""
    defect = Defect(
        problem="the file is not read from here on",
        allowed=f"up to {MAX_SECTIONS} sections and {MAX_FINDINGS} findings",
    )
    return Finding(source=document.key, line=line, section="", key="", defect=defect)
