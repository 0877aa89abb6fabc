"""Documents that consist of sections."""

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

# Largest document that is read.
MAX_DOCUMENT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LocatedSection:
    """A section and its position in the document.

    Parameters
    ----------
    section : Section
        Checked section.
    n_lines_before : int
        Number of lines of the document before the section.
    """

    section: Section
    n_lines_before: int

    @property
    def n_lines_to_end(self) -> int:
        """Return the number of lines of the document to the end of the section."""
        return self.n_lines_before + self.section.n_lines


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionedDocument:
    """A document split into checked sections.

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
        Sections by their text; reused for the next version.
    new_sections : list of LocatedSection
        Sections whose text is not in the previous version.
    findings : tuple of Finding
        Findings about the document and about single sections.
    """

    key: str
    digest: bytes
    texts: list[str]
    sections: list[LocatedSection]
    by_text: Mapping[str, LocatedSection]
    new_sections: list[LocatedSection]
    findings: tuple[Finding, ...]

    def make_finding(
        self, located: LocatedSection, *, key: str, problem: str, allowed: str
    ) -> Finding:
        """Return a finding at a key of a section, or at its header if absent."""
        return Finding(
            source=self.key,
            line=located.n_lines_before + located.section.find_line(key),
            section=located.section.header,
            key=key,
            defect=Defect(problem=problem, allowed=allowed),
        )

    def make_duplicate_finding(self, located: LocatedSection) -> Finding:
        """Return the finding that an earlier section has the same header."""
        return self.make_finding(
            located,
            key="",
            problem="the section is a duplicate",
            allowed="one such section",
        )


def decode_document(document: Document) -> Result[str, Finding]:
    """Return the text of a document.

    Parameters
    ----------
    document : Document
        Base file or overlay.

    Returns
    -------
    Result
        Text, or a finding if the document is too large, empty or not UTF-8.
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
    """Return a finding about the size or encoding of a document."""
    allowed = f"sections in UTF-8, 1 to {MAX_DOCUMENT_BYTES} bytes"
    return Finding(
        source=document.key,
        line=line,
        section="",
        key="",
        defect=Defect(problem=problem, allowed=allowed),
    )
