"""Checks of an overlay against the base file."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from foxtailway.config.base_file import BaseFile
from foxtailway.config.bounds import Bounds
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.overlay import Overlay, merge_entries
from foxtailway.config.relation import find_contradictions
from foxtailway.config.sectioned_document import LocatedSection, SectionedDocument
from foxtailway.config.typed_section import Section
from foxtailway.config.value_kind import quote

__all__ = ["CheckedOverlay", "check_overlay"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedOverlay:
    """Keep an overlay beside all that it was checked against.

    Parameters
    ----------
    overlay : Overlay
        Overlay of one site.
    is_site_known : bool
        Whether the base file has the site.
    rules : Mapping of str to Bounds
        Keys that overlays may change.
    targets : tuple of Section or None
        Sections of the base file to which the overlay refers.
    findings : tuple of Finding
        Defects that show beside the base file.
    """

    overlay: Overlay
    is_site_known: bool
    rules: Mapping[str, Bounds]
    targets: tuple[Section | None, ...]
    findings: tuple[Finding, ...]


def check_overlay(
    overlay: Overlay, *, base: BaseFile, previous: CheckedOverlay | None
) -> CheckedOverlay:
    """Check an overlay against the base file.

    Parameters
    ----------
    overlay : Overlay
        Overlay of one site.
    base : BaseFile
        Base file of the same version.
    previous : CheckedOverlay or None
        Earlier check, which is returned when nothing it depends on changed.

    Returns
    -------
    CheckedOverlay
        Findings about unknown sites and sections, and about keys that go
        beyond what is allowed.
    """
    is_site_known = overlay.site in base.sites
    targets = list_targets(overlay, base)
    if (
        previous is not None
        and previous.overlay is overlay
        and previous.is_site_known == is_site_known
        and previous.rules == base.overlay_rules
        and previous.targets == targets
    ):
        return previous
    return CheckedOverlay(
        overlay=overlay,
        is_site_known=is_site_known,
        rules=base.overlay_rules,
        targets=targets,
        findings=tuple(find_excesses(overlay, base)),
    )


def list_targets(overlay: Overlay, base: BaseFile) -> tuple[Section | None, ...]:
    """Return the sections of the base file to which an overlay refers."""
    located = [
        base.find_section(kind=kind, name=name) for kind, name in overlay.sections
    ]
    return tuple(None if target is None else target.section for target in located)


def find_excesses(overlay: Overlay, base: BaseFile) -> list[Finding]:
    """Return the findings about an overlay beside the base file."""
    findings = []
    if overlay.site not in base.sites:
        defect = Defect(
            problem=f"there is no site {quote(overlay.site)}",
            allowed="an overlay for a section [site NAME] of the base file",
        )
        findings.append(
            Finding(
                source=overlay.document.key, line=1, section="", key="", defect=defect
            )
        )
    for located in overlay.sections.values():
        findings += check_section(overlay.document, located, base)
    return findings


def check_section(
    document: SectionedDocument, located: LocatedSection, base: BaseFile
) -> list[Finding]:
    """Check one section of an overlay against the base file."""
    section = located.section
    target = base.find_section(kind=section.kind, name=section.name)
    if target is None:
        return [
            document.make_finding(
                located,
                key="",
                problem="the base file has no such section",
                allowed="sections of the base file",
            )
        ]
    findings = []
    for key, entry in section.entries.items():
        findings += check_entry(document, located, key, entry.value, base)
    return findings + check_merged(document, located, target.section)


def check_entry(
    document: SectionedDocument,
    located: LocatedSection,
    key: str,
    value: Any,
    base: BaseFile,
) -> list[Finding]:
    """Check one value of an overlay against the rules of the base file."""
    path = f"{located.section.kind}.{key}"
    bounds = base.overlay_rules.get(path)
    if bounds is None:
        problem = "the base file doesn't let overlays change the key"
        allowed = f"{', '.join(base.overlay_rules) or 'no key'} by [overlays]"
    elif not bounds.contain(value):
        problem = "the value widens the bounds of the base file"
        allowed = f"{bounds.text} by [overlays] {path}"
    else:
        return []
    return [document.make_finding(located, key=key, problem=problem, allowed=allowed)]


def check_merged(
    document: SectionedDocument, located: LocatedSection, target: Section
) -> list[Finding]:
    """Check relations between values once the overlay is merged."""
    section = located.section
    merged = merge_entries(target, section)
    values = {key: entry.value for key, entry in merged.items()}
    findings = []
    for contradiction in find_contradictions(section.kind, values):
        key = contradiction.key
        if key not in section.entries:
            key = contradiction.other_key
        if key not in section.entries:
            continue
        findings.append(
            document.make_finding(
                located,
                key=key,
                problem=f"{contradiction.defect.problem} once merged",
                allowed=contradiction.defect.allowed,
            )
        )
    return findings
