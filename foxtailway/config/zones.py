"""Regions of the availability zones."""

from collections.abc import Mapping
from types import MappingProxyType

from foxtailway.config.base_file import BaseFile
from foxtailway.config.section_parser import split_sections
from foxtailway.config.section_reader import BaseSectionReader
from foxtailway.model.bundle import Document

__all__ = ["list_zone_regions", "read_zone_regions"]

SITE_HEADER_PREFIX = "[site "


def list_zone_regions(base: BaseFile) -> Mapping[str, str]:
    """Return the regions by site of a base file without findings."""
    regions = {
        name: located.section.entries["region"].value
        for name, located in base.sites.items()
    }
    return MappingProxyType(regions)


def read_zone_regions(document: Document) -> Mapping[str, str]:
    """Return the region of each availability zone without a full validation.

    Parameters
    ----------
    document : Document
        Base file; a section ``site`` without a valid region is ignored.

    Returns
    -------
    Mapping of str to str
        Region by availability zone.
    """
    reader = BaseSectionReader()
    regions: dict[str, str] = {}
    for text in split_sections(document.content.decode(errors="replace")):
        if not text.startswith(SITE_HEADER_PREFIX):
            continue
        section = reader.read(text)
        if section.kind and "region" in section.entries:
            regions.setdefault(section.name, section.entries["region"].value)
    return MappingProxyType(regions)
