"""Configuration of one site: the base file merged with its overlay."""

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
    """One section with the values that apply at a site.

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
    """All sections with the values that apply at a site.

    Parameters
    ----------
    site : str
        Availability zone.
    sections : tuple of MergedSection
        Section ``mesh``, then the sites, services and routes, each in the order of
        the base file.
    """

    site: str
    sections: tuple[MergedSection, ...]

    def render(self) -> str:
        """Return the sections as the INI text of a valid base file."""
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
        All sections with all values, defaults included.
    """
    overlay = configuration.overlays.get(site)
    overlay_sections = {} if overlay is None else overlay.sections
    sections = []
    for located in list_sections(configuration.base):
        base = located.section
        located_overlay = overlay_sections.get((base.kind, base.name))
        entries = merge_entries(
            base, None if located_overlay is None else located_overlay.section
        )
        sections.append(MergedSection(header=base.header, entries=entries))
    return MergedSite(site=site, sections=tuple(sections))


def list_sections(base: BaseFile) -> Iterator[LocatedSection]:
    """Yield all sections of the base file except ``overlays``."""
    if base.mesh is not None:
        yield base.mesh
    yield from base.sites.values()
    yield from base.services.values()
    yield from base.routes.values()
