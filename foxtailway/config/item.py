"""Clusters and routes built from sections."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from foxtailway.config.overlay import Overlay, merge_entries
from foxtailway.config.sectioned_document import LocatedSection
from foxtailway.config.typed_section import Section
from foxtailway.model.snapshot import Cluster, Listener, Route

__all__ = ["Item", "build_items", "make_cluster", "make_listener", "make_route"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """Keep a cluster or route beside the sections that made it.

    Parameters
    ----------
    base : Section
        Section of the base file.
    overlay : Section or None
        Section of the site's overlay.
    product : Cluster or Route
        Result of both.
    """

    base: Section
    overlay: Section | None
    product: Any


def build_items(
    sections: Mapping[str, LocatedSection],
    *,
    kind: str,
    overlay: Overlay | None,
    make: Callable[[str, Mapping[str, Any]], Cluster | Route],
    previous: Mapping[str, Item],
) -> dict[str, Item]:
    """Build the products of all sections of one kind, reusing unchanged ones.

    Parameters
    ----------
    sections : Mapping of str to LocatedSection
        Valid sections of the base file by name.
    kind : str
        Kind of the sections.
    overlay : Overlay or None
        Overlay of the site.
    make : callable
        Function of name and values that builds one product.
    previous : Mapping of str to Item
        Items of the earlier version.

    Returns
    -------
    dict of str to Item
        Items by name.
    """
    changes = list_changes(kind, overlay)
    items: dict[str, Item] = {}
    for name, located in sections.items():
        base = located.section
        section = changes.get(name)
        item = previous.get(name)
        if item is None or item.base is not base or item.overlay is not section:
            merged = merge_entries(base, section)
            values = {key: entry.value for key, entry in merged.items()}
            item = Item(base=base, overlay=section, product=make(name, values))
        items[name] = item
    return items


def list_changes(kind: str, overlay: Overlay | None) -> dict[str, Section]:
    """Return the sections of one kind of an overlay, by name."""
    if overlay is None:
        return {}
    return {
        name: located.section
        for (section_kind, name), located in overlay.sections.items()
        if section_kind == kind
    }


def make_cluster(name: str, values: Mapping[str, Any]) -> Cluster:
    """Build a cluster from the values of a section ``service``."""
    return Cluster(
        name=name,
        n_slots=values["slots"],
        n_connections=values["connections"],
        n_queued=values["queue"],
        queue_timeout_s=values["queue_timeout"],
        retry_ratio=values["retry_ratio"],
        max_ejected_ratio=values["max_ejected_ratio"],
        slow_start_s=values["slow_start"],
        n_crash_hosts=values["crash_hosts"],
        quarantine_s=values["quarantine"],
        secret=values.get("secret"),
    )


def make_route(name: str, values: Mapping[str, Any]) -> Route:
    """Build a route from the values of a section ``route``."""
    return Route(
        name=name,
        path_prefix=values["path"],
        methods=values["methods"],
        cluster=values["cluster"],
        is_idempotent=values["idempotent"],
        timeout_s=values["timeout"],
        n_retries=values["retries"],
        priority=values["priority"],
        idempotency_window_s=values["idempotency_window"],
    )


def make_listener(base: Section, overlay: Overlay | None) -> Listener:
    """Build the listener from section ``mesh`` and the site's overlay."""
    change = None if overlay is None else overlay.sections.get(("mesh", ""))
    entries = merge_entries(base, None if change is None else change.section)
    return Listener(
        max_header_size=entries["max_header_size"].value,
        max_body_size=entries["max_body_size"].value,
        max_hops=entries["max_hops"].value,
    )
