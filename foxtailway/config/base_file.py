"""The base file: its sections by name and the checks that span sections."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailway.config.bounds import Bounds
from foxtailway.config.document_reader import read_document
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.schema import OVERLAYS_KIND
from foxtailway.config.section_reader import BaseSectionReader
from foxtailway.config.sectioned_document import (
    LocatedSection,
    SectionedDocument,
)
from foxtailway.config.typed_section import RouteMatch
from foxtailway.model.bundle import Document

__all__ = ["BaseFile", "read_base_file"]


@dataclass(frozen=True, slots=True, kw_only=True)
class BaseFile:
    """The checked base file.

    Parameters
    ----------
    document : SectionedDocument
        All sections; reused for the next version.
    mesh : LocatedSection or None
        Section ``mesh``; None if it is missing.
    sites, services, routes : Mapping of str to LocatedSection
        Sections by the name in their header.
    overlay_rules : Mapping of str to Bounds
        Bounds of the keys that overlays may change, by ``kind.key``.
    findings : tuple of Finding
        All findings about the file.
    """

    document: SectionedDocument
    mesh: LocatedSection | None
    sites: Mapping[str, LocatedSection]
    services: Mapping[str, LocatedSection]
    routes: Mapping[str, LocatedSection]
    overlay_rules: Mapping[str, Bounds]
    findings: tuple[Finding, ...]

    def find_section(self, *, kind: str, name: str) -> LocatedSection | None:
        """Return the section that an overlay section changes.

        Parameters
        ----------
        kind : str
            Kind of the section: ``service``, ``route`` or ``mesh``.
        name : str
            Name in the header; ignored for ``mesh``.

        Returns
        -------
        LocatedSection or None
            The section, or None if the base file does not have it.
        """
        if kind == "service":
            return self.services.get(name)
        if kind == "route":
            return self.routes.get(name)
        return self.mesh


def read_base_file(document: Document, *, previous: BaseFile | None) -> BaseFile:
    """Read the base file and check references between its sections.

    Parameters
    ----------
    document : Document
        Document with the key ``base``.
    previous : BaseFile or None
        Previous version without findings, whose unchanged sections are reused.

    Returns
    -------
    BaseFile
        Sections and findings; `previous` itself if the content is the same.
    """
    sectioned = read_document(
        document,
        reader_type=BaseSectionReader,
        previous=None if previous is None else previous.document,
    )
    if previous is not None and sectioned is previous.document:
        return previous
    indexes: dict[str, dict[str, LocatedSection]] = {
        kind: {} for kind in ("mesh", "site", "service", "route", OVERLAYS_KIND)
    }
    findings = list(sectioned.findings)
    findings += index_sections(sectioned, indexes)
    if sectioned.sections:
        findings += check_required_sections(sectioned, indexes)
    findings += check_cluster_references(
        sectioned, list_routes_to_check(sectioned, indexes, previous), indexes
    )
    if not has_unchanged_route_matches(sectioned, previous):
        findings += check_route_conflicts(sectioned, indexes["route"])
    rules = indexes[OVERLAYS_KIND].get("")
    return BaseFile(
        document=sectioned,
        mesh=indexes["mesh"].get(""),
        sites=indexes["site"],
        services=indexes["service"],
        routes=indexes["route"],
        overlay_rules={} if rules is None else rules.section.values,
        findings=tuple(findings),
    )


def index_sections(
    document: SectionedDocument, indexes: dict[str, dict[str, LocatedSection]]
) -> list[Finding]:
    """Add sections to the index of their kind.

    Returns
    -------
    list of Finding
        One finding for each duplicate; the first section stays in the index.
    """
    findings = []
    for located in document.sections:
        section = located.section
        if not section.kind:
            continue
        first = indexes[section.kind].setdefault(section.name, located)
        if first is not located:
            findings.append(document.make_duplicate_finding(located))
    return findings


def check_required_sections(
    document: SectionedDocument, indexes: dict[str, dict[str, LocatedSection]]
) -> list[Finding]:
    """Return a finding for each required kind of section that is missing."""
    findings = []
    for kind, header in (("mesh", "mesh"), ("site", "site NAME")):
        if indexes[kind]:
            continue
        defect = Defect(
            problem="the section is required", allowed=f"a section [{header}]"
        )
        findings.append(
            Finding(source=document.key, line=1, section=kind, key="", defect=defect)
        )
    return findings


def list_routes_to_check(
    document: SectionedDocument,
    indexes: Mapping[str, Mapping[str, LocatedSection]],
    previous: BaseFile | None,
) -> Iterable[LocatedSection]:
    """Return the routes whose cluster may be missing.

    The previous version is valid. While the set of services is the same, only
    routes that are new or changed can therefore name a missing cluster.
    """
    if previous is None or previous.services.keys() != indexes["service"].keys():
        return indexes["route"].values()
    return [
        located for located in document.new_sections if located.section.kind == "route"
    ]


def check_cluster_references(
    document: SectionedDocument,
    routes: Iterable[LocatedSection],
    indexes: Mapping[str, Mapping[str, LocatedSection]],
) -> list[Finding]:
    """Return a finding for each route whose cluster has no section."""
    findings = []
    for located in routes:
        entry = located.section.entries.get("cluster")
        if entry is not None and entry.value not in indexes["service"]:
            findings.append(
                document.make_finding(
                    located,
                    key="cluster",
                    problem=f"there is no service '{entry.value}'",
                    allowed="the name of a section [service NAME]",
                )
            )
    return findings


def has_unchanged_route_matches(
    document: SectionedDocument, previous: BaseFile | None
) -> bool:
    """Return whether every new or changed route has the same matches as before.

    The previous version is valid, so no two routes conflict in that case. Always
    False without a previous version.
    """
    if previous is None:
        return False
    for located in document.new_sections:
        section = located.section
        if section.kind != "route":
            continue
        old = previous.routes.get(section.name)
        if old is None or old.section.route_matches != section.route_matches:
            return False
    return True


def check_route_conflicts(
    document: SectionedDocument, routes: Mapping[str, LocatedSection]
) -> list[Finding]:
    """Return a finding for each route that matches the same requests as another.

    Two routes conflict if they have the same path prefix and a method in common.
    """
    matches = [
        match for located in routes.values() for match in located.section.route_matches
    ]
    if len(set(matches)) == len(matches):
        return []
    findings = []
    route_by_match: dict[RouteMatch, str] = {}
    for name, located in routes.items():
        for match in located.section.route_matches:
            other = route_by_match.setdefault(match, name)
            if other == name:
                continue
            findings.append(
                document.make_finding(
                    located,
                    key="path",
                    problem=f"route '{other}' has the same path for {match.method}",
                    allowed="one route for each path and method",
                )
            )
    return findings
