"""Configuration of one site after its overlay was merged."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from foxtailway.config.base_file import BaseFile
from foxtailway.config.configuration import Configuration
from foxtailway.config.overlay import merge_entries
from foxtailway.config.sectioned_document import LocatedSection
from foxtailway.config.typed_section import Entry

__all__ = ["MergedSection", "MergedSite", "merge_site"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MergedSection:
    """Hold one section as it is in force at a site.

    Parameters
    ----------
    header : str
        Text between the brackets.
    entries : Mapping of str to Entry
        Values by key, defaults included.
    """

    header: str
    entries: Mapping[str, Entry]


@dataclass(frozen=True, slots=True, kw_only=True)
class MergedSite:
    """Hold all sections that are in force at a site.

    Parameters
    ----------
    site : str
        Availability zone.
    sections : tuple of MergedSection
        Sections in the order of the base file, mesh and sites first.
    """

    site: str
    sections: tuple[MergedSection, ...]

    def render(self) -> str:
        """Return the sections as INI text that is itself a valid base file."""
        blocks = []
        for section in self.sections:
            lines = [f"[{section.header}]"]
            for key, entry in section.entries.items():
                lines.append(f"{key} = {' '.join(entry.text.split())}")
            blocks.append("\n".join(lines) + "\n")
        return "\n".join(blocks)


def merge_site(configuration: Configuration, *, site: str) -> MergedSite:
    """Merge the base file and the overlay of one site.

    Parameters
    ----------
    configuration : Configuration
        Configuration without findings.
    site : str
        Availability zone, with or without an overlay.

    Returns
    -------
    MergedSite
        Every section with every value.
    """
    overlay = configuration.overlays.get(site)
    changes = {} if overlay is None else overlay.sections
    sections = []
    for located in list_sections(configuration.base):
        base = located.section
        change = changes.get((base.kind, base.name))
        entries = merge_entries(base, None if change is None else change.section)
        sections.append(MergedSection(header=base.header, entries=entries))
    return MergedSite(site=site, sections=tuple(sections))


def list_sections(base: BaseFile) -> Iterator[LocatedSection]:
    """Yield the sections of the base file that sites have in force."""
    if base.mesh is not None:
        yield base.mesh
    yield from base.sites.values()
    yield from base.services.values()
    yield from base.routes.values()
