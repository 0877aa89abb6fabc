"""Documents as sequences of sections."""

from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from foxtailway.config.finding import Defect, Finding
from foxtailway.config.typed_section import Section
from foxtailway.model.bundle import Document

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "LocatedSection",
    "SectionedDocument",
    "decode_document",
]

MAX_DOCUMENT_BYTES = 1_000_000


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
