"""Overlays: changes of single sites within the bounds of the base file."""

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
    """One overlay, not yet checked against the base file.

    Parameters
    ----------
    site : str
        Availability zone that the overlay applies to.
    document : SectionedDocument
        All sections; reused for the next version.
    sections : Mapping of tuple to LocatedSection
        Sections by kind and name.
    findings : tuple of Finding
        Findings that do not depend on the base file.
    """

    site: str
    document: SectionedDocument
    sections: Mapping[tuple[str, str], LocatedSection]
    findings: tuple[Finding, ...]


def read_overlay(document: Document, *, site: str, previous: Overlay | None) -> Overlay:
    """Read an overlay without checking it against the base file.

    Parameters
    ----------
    document : Document
        Overlay as published.
    site : str
        Availability zone.
    previous : Overlay or None
        Previous version without findings, whose unchanged sections are reused.

    Returns
    -------
    Overlay
        Sections and findings; `previous` itself if the content is the same.
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
    """Return the entries of a base section, overridden by those of an overlay."""
    if overlay is None:
        return dict(base.entries)
    return {**base.entries, **overlay.entries}
