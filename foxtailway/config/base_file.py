"""The base file as a whole: indexes of its sections and checks across them."""

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
from foxtailway.config.typed_section import Target
from foxtailway.model.bundle import Document

__all__ = ["BaseFile", "read_base_file"]


@dataclass(frozen=True, slots=True, kw_only=True)
class BaseFile:
    """Hold the checked base file.

    Parameters
    ----------
    document : SectionedDocument
        All sections, for reuse with the next version.
    mesh : LocatedSection or None
        Section ``mesh``.
    sites, services, routes : Mapping of str to LocatedSection
        Sections by the name in their header.
    overlay_rules : Mapping of str to Bounds
        Keys that overlays may change, as ``kind.key``.
    findings : tuple of Finding
        All defects of the file.
    """

    document: SectionedDocument
    mesh: LocatedSection | None
    sites: Mapping[str, LocatedSection]
    services: Mapping[str, LocatedSection]
    routes: Mapping[str, LocatedSection]
    overlay_rules: Mapping[str, Bounds]
    findings: tuple[Finding, ...]

    def find_section(self, *, kind: str, name: str) -> LocatedSection | None:
        """Return the section that an overlay refers to, or None."""
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
        Document with the key ``base``, or a file named by the operator.
    previous : BaseFile or None
        Earlier version, whose unchanged sections are reused.

    Returns
    -------
    BaseFile
        Sections and findings.
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
        findings += check_presence(sectioned, indexes)
    findings += check_clusters(
        sectioned, list_unproven_routes(sectioned, indexes, previous), indexes
    )
    if not keep_targets(sectioned, previous):
        findings += check_paths(sectioned, indexes["route"])
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
    """Enter sections in their index and report duplicates."""
    findings = []
    for located in document.sections:
        section = located.section
        if not section.kind:
            continue
        first = indexes[section.kind].setdefault(section.name, located)
        if first is not located:
            findings.append(document.make_duplicate_finding(located))
    return findings


def check_presence(
    document: SectionedDocument, indexes: dict[str, dict[str, LocatedSection]]
) -> list[Finding]:
    """Require the sections without which there is no mesh."""
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


def list_unproven_routes(
    document: SectionedDocument,
    indexes: Mapping[str, Mapping[str, LocatedSection]],
    previous: BaseFile | None,
) -> Iterable[LocatedSection]:
    """Return the routes whose cluster may have become absent.

    While the names of the services stay, these are the fresh routes alone, as
    the earlier version was valid.
    """
    if previous is None or previous.services.keys() != indexes["service"].keys():
        return indexes["route"].values()
    return [located for located in document.fresh if located.section.kind == "route"]


def check_clusters(
    document: SectionedDocument,
    routes: Iterable[LocatedSection],
    indexes: Mapping[str, Mapping[str, LocatedSection]],
) -> list[Finding]:
    """Report routes that point at an absent cluster."""
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


def keep_targets(document: SectionedDocument, previous: BaseFile | None) -> bool:
    """Return whether all routes accept what they accepted before.

    The earlier version was valid, so no two routes can accept the same then.
    """
    if previous is None:
        return False
    for located in document.fresh:
        section = located.section
        if section.kind != "route":
            continue
        known = previous.routes.get(section.name)
        if known is None or known.section.targets != section.targets:
            return False
    return True


def check_paths(
    document: SectionedDocument, routes: Mapping[str, LocatedSection]
) -> list[Finding]:
    """Report routes that accept the same method at the same path."""
    targets = [
        target for located in routes.values() for target in located.section.targets
    ]
    if len(set(targets)) == len(targets):
        return []
    findings = []
    owners: dict[Target, str] = {}
    for name, located in routes.items():
        for target in located.section.targets:
            owner = owners.setdefault(target, name)
            if owner == name:
                continue
            findings.append(
                document.make_finding(
                    located,
                    key="path",
                    problem=f"route '{owner}' has the same path for {target.method}",
                    allowed="one route for each path and method",
                )
            )
    return findings
