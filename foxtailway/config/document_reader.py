"""Reading of documents, with reuse of sections already read."""

from foxtailway.config.finding import Defect, Finding, shift_findings
from foxtailway.config.section_parser import split_sections
from foxtailway.config.section_reader import SectionReader
from foxtailway.config.sectioned_document import (
    LocatedSection,
    SectionedDocument,
    decode_document,
)
from foxtailway.model.bundle import Document

__all__ = ["MAX_FINDINGS", "MAX_SECTIONS", "read_document"]

MAX_SECTIONS = 8000
MAX_FINDINGS = 1000


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
