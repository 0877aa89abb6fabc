"""Validation of overlays against the base file."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from foxtailway.config.base_file import BaseFile
from foxtailway.config.bounds import Bounds
from foxtailway.config.constraint import find_violations
from foxtailway.config.finding import Defect, Finding
from foxtailway.config.overlay import Overlay, merge_entries
from foxtailway.config.sectioned_document import LocatedSection, SectionedDocument
from foxtailway.config.typed_section import Section
from foxtailway.config.value_kind import quote

__all__ = ["CheckedOverlay", "check_overlay"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedOverlay:
    """The result of checking an overlay, with the inputs of the check.

    The inputs show whether the result still holds for the next version.

    Parameters
    ----------
    overlay : Overlay
        Overlay of one site.
    is_site_known : bool
        Whether the base file has a section for the site.
    rules : Mapping of str to Bounds
        Bounds of the keys that overlays may change, by ``kind.key``.
    base_sections : tuple of Section or None
        Section of the base file for each section of the overlay; None if missing.
    findings : tuple of Finding
        Findings of the check against the base file.
    """

    overlay: Overlay
    is_site_known: bool
    rules: Mapping[str, Bounds]
    base_sections: tuple[Section | None, ...]
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
        Result for the previous version; returned again if its inputs are the same.

    Returns
    -------
    CheckedOverlay
        Result with findings about unknown sites and sections, about keys that
        overlays may not change, and about values outside their bounds.
    """
    is_site_known = overlay.site in base.sites
    base_sections = list_base_sections(overlay, base)
    if (
        previous is not None
        and previous.overlay is overlay
        and previous.is_site_known == is_site_known
        and previous.rules == base.overlay_rules
        and previous.base_sections == base_sections
    ):
        return previous
    return CheckedOverlay(
        overlay=overlay,
        is_site_known=is_site_known,
        rules=base.overlay_rules,
        base_sections=base_sections,
        findings=tuple(find_overlay_findings(overlay, base)),
    )


def list_base_sections(overlay: Overlay, base: BaseFile) -> tuple[Section | None, ...]:
    """Return the section of the base file for each section of an overlay."""
    located = [
        base.find_section(kind=kind, name=name) for kind, name in overlay.sections
    ]
    return tuple(
        None if base_section is None else base_section.section
        for base_section in located
    )


def find_overlay_findings(overlay: Overlay, base: BaseFile) -> list[Finding]:
    """Return the findings about an overlay in relation to the base file."""
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
    """Return the findings about one section of an overlay."""
    section = located.section
    base_section = base.find_section(kind=section.kind, name=section.name)
    if base_section is None:
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
    return findings + check_merged(document, located, base_section.section)


def check_entry(
    document: SectionedDocument,
    located: LocatedSection,
    key: str,
    value: Any,
    base: BaseFile,
) -> list[Finding]:
    """Return the findings about one value of an overlay."""
    path = f"{located.section.kind}.{key}"
    bounds = base.overlay_rules.get(path)
    if bounds is None:
        problem = "the base file does not allow overlays to change the key"
        allowed = f"{', '.join(base.overlay_rules) or 'no key'} by [overlays]"
    elif not bounds.contains(value):
        problem = "the value is outside the bounds of the base file"
        allowed = f"{bounds.text} by [overlays] {path}"
    else:
        return []
    return [document.make_finding(located, key=key, problem=problem, allowed=allowed)]


def check_merged(
    document: SectionedDocument, located: LocatedSection, base_section: Section
) -> list[Finding]:
    """Return the findings about constraints that the merged section violates.

    A finding is located at a key that the overlay states. A violation between
    keys that the overlay does not state is omitted.
    """
    section = located.section
    merged = merge_entries(base_section, section)
    values = {key: entry.value for key, entry in merged.items()}
    findings = []
    for violation in find_violations(section.kind, values):
        key = violation.key
        if key not in section.entries:
            key = violation.other_key
        if key not in section.entries:
            continue
        findings.append(
            document.make_finding(
                located,
                key=key,
                problem=f"{violation.defect.problem} after merging",
                allowed=violation.defect.allowed,
            )
        )
    return findings
