"""Comparison of two configurations, site by site."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailway.config.configuration import Configuration
from foxtailway.config.merged_site import MergedSite, merge_site
from foxtailway.config.typed_section import Entry

__all__ = ["Change", "SiteChange", "compare_configurations"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One changed value or section.

    Parameters
    ----------
    header : str
        Header of the section.
    key : str
        Changed key; empty for a section that was added or removed.
    before, after : str
        Texts of the value; empty if there is none.
    """

    header: str
    key: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the change as one line of text."""
        path = f"{self.header}.{self.key}" if self.key else self.header
        if not self.before:
            return f"{path}: added {self.after}".rstrip()
        if not self.after:
            return f"{path}: removed {self.before}".rstrip()
        return f"{path}: {self.before} -> {self.after}"


@dataclass(frozen=True, slots=True, kw_only=True)
class SiteChange:
    """A change and the sites that it affects.

    Parameters
    ----------
    sites : tuple of str
        Affected sites in ascending order.
    has_all_sites : bool
        Whether these are all sites of both configurations.
    change : Change
        Changed value or section.
    """

    sites: tuple[str, ...]
    has_all_sites: bool
    change: Change

    def __str__(self) -> str:
        """Return sites and change as one line of text."""
        scope = "all sites" if self.has_all_sites else " ".join(self.sites)
        return f"{scope}: {self.change}"


def compare_configurations(
    *, before: Configuration, after: Configuration
) -> tuple[SiteChange, ...]:
    """Return the changes of an edit, grouped by the sites that they affect.

    Parameters
    ----------
    before, after : Configuration
        Configurations without findings.

    Returns
    -------
    tuple of SiteChange
        Changes of the merged values in the order of their sections, then changes
        of the section ``overlays``, which affect all sites.
    """
    sites = sorted({*before.base.sites, *after.base.sites})
    sites_by_change: dict[Change, list[str]] = {}
    for site in sites:
        changes = compare_sites(
            merge_site(before, site=site), merge_site(after, site=site)
        )
        for change in changes:
            sites_by_change.setdefault(change, []).append(site)
    for change in compare_rules(before, after):
        sites_by_change[change] = sites
    return tuple(
        SiteChange(
            sites=tuple(affected_sites),
            has_all_sites=affected_sites == sites,
            change=change,
        )
        for change, affected_sites in sites_by_change.items()
    )


def compare_sites(before: MergedSite, after: MergedSite) -> list[Change]:
    """Return the changes of the merged values of one site."""
    old = {section.header: section.entries for section in before.sections}
    new = {section.header: section.entries for section in after.sections}
    changes = []
    for header in {**old, **new}:
        changes += compare_entries(header, old.get(header), new.get(header))
    return changes


def compare_entries(
    header: str, old: Mapping[str, Entry] | None, new: Mapping[str, Entry] | None
) -> list[Change]:
    """Return the changes of one section; None stands for an absent section."""
    if old is None:
        return [Change(header=header, key="", before="", after="section")]
    if new is None:
        return [Change(header=header, key="", before="section", after="")]
    changes = []
    for key in {**old, **new}:
        before = old.get(key)
        after = new.get(key)
        if before and after and before.value == after.value:
            continue
        changes.append(
            Change(
                header=header,
                key=key,
                before="" if before is None else before.text,
                after="" if after is None else after.text,
            )
        )
    return changes


def compare_rules(before: Configuration, after: Configuration) -> list[Change]:
    """Return the changes of the section ``overlays``."""
    old = before.base.overlay_rules
    new = after.base.overlay_rules
    return [
        Change(
            header="overlays",
            key=key,
            before=old[key].text if key in old else "",
            after=new[key].text if key in new else "",
        )
        for key in {**old, **new}
        if old.get(key) != new.get(key)
    ]
