"""Incremental reading of documents: unchanged sections are not parsed again."""

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

# Sections of one document; the rest of a longer document is not read.
MAX_SECTIONS = 8000
# Findings of one document after which the rest of it is not read.
MAX_FINDINGS = 1000


class DocumentBuilder:
    """Builder of a `SectionedDocument`.

    Parameters
    ----------
    document : Document
        Document to read.
    reader : SectionReader
        Reader of the sections that are not reused.
    previous : SectionedDocument or None
        Previous version without findings.
    """

    def __init__(
        self,
        *,
        document: Document,
        reader: SectionReader,
        previous: SectionedDocument | None,
    ) -> None:
        self.document = document
        self.reader = reader
        self.section_by_text = {} if previous is None else previous.by_text
        self.previous_texts = [] if previous is None else previous.texts
        self.previous_sections = [] if previous is None else previous.sections
        self.texts: list[str] = []
        self.sections: list[LocatedSection] = []
        self.new_sections: list[LocatedSection] = []
        self.findings: list[Finding] = []
        self.n_lines = 0

    def read_sections(self, texts: list[str]) -> None:
        """Read all sections of the document.

        Sections before the first and after the last change are copied from the
        previous version. Those in between are parsed, unless the previous version
        has a section with the same text.
        """
        self.texts = texts
        n_prefix = count_common_prefix(texts, self.previous_texts)
        self.sections = self.previous_sections[:n_prefix]
        if self.sections:
            self.n_lines = self.sections[-1].n_lines_to_end
        n_suffix = self.count_common_suffix(n_prefix)
        for text in texts[n_prefix : len(texts) - n_suffix]:
            if not self.append_section(text):
                return
        if n_suffix:
            self.sections += self.shift_sections(self.previous_sections[-n_suffix:])

    def count_common_suffix(self, n_prefix: int) -> int:
        """Return the number of unchanged sections at the end of the document.

        The first `n_prefix` sections are not counted. Returns 0 if the document
        exceeds the limit of sections, so that it is read up to that limit.
        """
        if len(self.texts) > MAX_SECTIONS:
            return 0
        remainder = self.texts[n_prefix:]
        previous_remainder = self.previous_texts[n_prefix:]
        return count_common_prefix(remainder[::-1], previous_remainder[::-1])

    def shift_sections(self, sections: list[LocatedSection]) -> list[LocatedSection]:
        """Return copied sections with line numbers of the new document."""
        line_offset = self.n_lines - sections[0].n_lines_before
        if not line_offset:
            return sections
        return [
            LocatedSection(
                section=located.section,
                n_lines_before=located.n_lines_before + line_offset,
            )
            for located in sections
        ]

    def append_section(self, text: str) -> bool:
        """Add the next section.

        Returns
        -------
        bool
            False if a limit is reached and the rest must not be read.
        """
        if len(self.sections) >= MAX_SECTIONS or len(self.findings) >= MAX_FINDINGS:
            self.findings.append(make_limit_finding(self.document, self.n_lines + 1))
            return False
        located = self.section_by_text.get(text)
        if located is None:
            section = self.reader.read(text)
            located = LocatedSection(section=section, n_lines_before=self.n_lines)
            self.new_sections.append(located)
        elif located.n_lines_before != self.n_lines:
            section = located.section
            located = LocatedSection(section=section, n_lines_before=self.n_lines)
        self.sections.append(located)
        if located.section.findings:
            self.findings += shift_findings(
                located.section.findings,
                source=self.document.key,
                n_lines_before=self.n_lines,
            )
        self.n_lines = located.n_lines_to_end
        return True

    def build(self) -> SectionedDocument:
        """Return the document with the sections and findings collected so far."""
        return SectionedDocument(
            key=self.document.key,
            digest=self.document.digest,
            texts=self.texts,
            sections=self.sections,
            by_text=dict(zip(self.texts, self.sections, strict=False)),
            new_sections=self.new_sections,
            findings=tuple(self.findings),
        )


def read_document(
    document: Document,
    *,
    reader_type: type[SectionReader],
    previous: SectionedDocument | None,
) -> SectionedDocument:
    """Split a document into sections and read those that changed.

    Parameters
    ----------
    document : Document
        Base file or overlay.
    reader_type : type of SectionReader
        Type of the reader for the sections of this kind of document.
    previous : SectionedDocument or None
        Previous version without findings, whose unchanged sections are reused.

    Returns
    -------
    SectionedDocument
        Sections and findings; `previous` itself if the content is the same.
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
            new_sections=[],
            findings=(decoded.error,),
        )
    builder = DocumentBuilder(
        document=document, reader=reader_type(), previous=previous
    )
    builder.read_sections(split_sections(decoded.ok))
    return builder.build()


def count_common_prefix(texts: list[str], others: list[str]) -> int:
    """Return the length of the common prefix of two lists.

    Finds the length by bisection, comparing slices of the lists.

    Examples
    --------
    >>> count_common_prefix(["a", "b", "c"], ["a", "b", "d", "e"])
    2
    """
    n_common = 0
    n_remaining = min(len(texts), len(others))
    while n_remaining:
        n_compared = (n_remaining + 1) // 2
        end = n_common + n_compared
        if texts[n_common:end] == others[n_common:end]:
            n_common = end
            n_remaining -= n_compared
        else:
            n_remaining = n_compared - 1
    return n_common


def make_limit_finding(document: Document, line: int) -> Finding:
    """Return the finding that a document exceeds the limits from `line` on."""
    defect = Defect(
        problem="the rest of the file is not read",
        allowed=f"up to {MAX_SECTIONS} sections and {MAX_FINDINGS} findings",
    )
    return Finding(source=document.key, line=line, section="", key="", defect=defect)
