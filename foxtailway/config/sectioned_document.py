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


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionedDocument:
    """Hold a document as sections.

    Parameters
    ----------
    key : str
        Key of the document.
    digest : bytes
        Digest of the content.
    sections : tuple of LocatedSection
        Sections in the order of the document.
    by_text : Mapping of str to LocatedSection
        Sections by their text, for reuse with the next version.
    fresh : tuple of LocatedSection
        Sections that the earlier version did not hold.
    findings : tuple of Finding
        Defects of the document and of its single sections.
    """

    key: str
    digest: bytes
    sections: tuple[LocatedSection, ...]
    by_text: Mapping[str, LocatedSection]
    fresh: tuple[LocatedSection, ...]
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
        Earlier version, whose unchanged sections are reused.

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
            sections=(),
            by_text={},
            fresh=(),
            findings=(decoded.error,),
        )
    reader = reader_type()
    known = {} if previous is None else previous.by_text
    by_text: dict[str, LocatedSection] = {}
    sections: list[LocatedSection] = []
    fresh: list[LocatedSection] = []
    findings: list[Finding] = []
    n_lines = 0
    for text in split_sections(decoded.ok):
        if len(sections) >= MAX_SECTIONS or len(findings) >= MAX_FINDINGS:
            findings.append(make_limit_finding(document, n_lines + 1))
            break
        located = known.get(text) or by_text.get(text)
        if located is None:
            located = LocatedSection(section=reader.read(text), n_lines_ahead=n_lines)
            fresh.append(located)
        elif located.n_lines_ahead != n_lines:
            located = LocatedSection(section=located.section, n_lines_ahead=n_lines)
        by_text[text] = located
        sections.append(located)
        if located.section.findings:
            findings += shift_findings(
                located.section.findings, source=document.key, n_lines=n_lines
            )
        n_lines += located.section.n_lines
    return SectionedDocument(
        key=document.key,
        digest=document.digest,
        sections=tuple(sections),
        by_text=by_text,
        fresh=tuple(fresh),
        findings=tuple(findings),
    )


def make_limit_finding(document: Document, line: int) -> Finding:
    """Build the finding that ends the reading of an excessive document."""
    defect = Defect(
        problem="the file is not read from here on",
        allowed=f"up to {MAX_SECTIONS} sections and {MAX_FINDINGS} findings",
    )
    return Finding(source=document.key, line=line, section="", key="", defect=defect)
