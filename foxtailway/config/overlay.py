"""Overlays: what one site changes within the bounds of the base file."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.config.document_reader import read_document
from foxtailway.config.finding import Finding
from foxtailway.config.section_reader import OverlaySectionReader
from foxtailway.config.sectioned_document import (
    LocatedSection,
    SectionedDocument,
)
from foxtailway.config.typed_section import Entry, Section
from foxtailway.model.bundle import Document

__all__ = ["Overlay", "merge_entries", "read_overlay"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Overlay:
    """Hold one overlay, checked by itself.

    Parameters
    ----------
    site : str
        Availability zone that the overlay is for.
    document : SectionedDocument
        All sections, for reuse with the next version.
    sections : Mapping of tuple to LocatedSection
        Sections by kind and name.
    findings : tuple of Finding
        Defects that show without the base file.
    """

    site: str
    document: SectionedDocument
    sections: Mapping[tuple[str, str], LocatedSection]
    findings: tuple[Finding, ...]


def read_overlay(document: Document, *, site: str, previous: Overlay | None) -> Overlay:
    """Read an overlay without a look at the base file.

    Parameters
    ----------
    document : Document
        Overlay as published.
    site : str
        Availability zone.
    previous : Overlay or None
        Earlier version, whose unchanged sections are reused.

    Returns
    -------
    Overlay
        Sections and findings.
    """
    sectioned = read_document(
        document,
        reader_type=OverlaySectionReader,
        previous=None if previous is None else previous.document,
    )
    if previous is not None and sectioned is previous.document:
        return previous
    sections: dict[tuple[str, str], LocatedSection] = {}
    findings = list(sectioned.findings)
    for located in sectioned.sections:
        section = located.section
        if not section.kind:
            continue
        first = sections.setdefault((section.kind, section.name), located)
        if first is not located:
            findings.append(sectioned.make_duplicate_finding(located))
    return Overlay(
        site=site,
        document=sectioned,
        sections=sections,
        findings=tuple(findings),
    )


def merge_entries(base: Section, overlay: Section | None) -> dict[str, Entry]:
    """Return the entries of a base section as changed by an overlay."""
    if overlay is None:
        return dict(base.entries)
    return {**base.entries, **overlay.entries}
