"""Compilation of sections into clusters, routes and the listener."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from foxtailway.config.overlay import Overlay, merge_entries
from foxtailway.config.sectioned_document import LocatedSection
from foxtailway.config.typed_section import Section
from foxtailway.model.snapshot import Cluster, Listener, Route

__all__ = [
    "CompiledResource",
    "build_resources",
    "make_cluster",
    "make_listener",
    "make_route",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class CompiledResource:
    """A cluster or route with the sections that it was built from.

    The sections show whether the resource can be reused for the next version.

    Parameters
    ----------
    base : Section
        Section of the base file.
    overlay : Section or None
        Section of the site's overlay; None if the overlay does not change it.
    resource : Cluster or Route
        Resource that both sections define.
    """

    base: Section
    overlay: Section | None
    resource: Any


def build_resources(
    sections: Mapping[str, LocatedSection],
    *,
    kind: str,
    overlay: Overlay | None,
    make_resource: Callable[[str, Mapping[str, Any]], Cluster | Route],
    previous: Mapping[str, CompiledResource],
) -> dict[str, CompiledResource]:
    """Build the resources of all sections of one kind, reusing unchanged ones.

    Parameters
    ----------
    sections : Mapping of str to LocatedSection
        Valid sections of the base file by name.
    kind : str
        Kind of the sections: ``service`` or ``route``.
    overlay : Overlay or None
        Overlay of the site, if it has one.
    make_resource : callable
        Function that builds a resource from its name and values by key.
    previous : Mapping of str to CompiledResource
        Resources of the previous version by name.

    Returns
    -------
    dict of str to CompiledResource
        Resources by name, in the order of `sections`.
    """
    overlay_sections = list_overlay_sections(kind, overlay)
    resources: dict[str, CompiledResource] = {}
    for name, located in sections.items():
        base = located.section
        section = overlay_sections.get(name)
        compiled = previous.get(name)
        if (
            compiled is None
            or compiled.base is not base
            or compiled.overlay is not section
        ):
            merged = merge_entries(base, section)
            values = {key: entry.value for key, entry in merged.items()}
            compiled = CompiledResource(
                base=base, overlay=section, resource=make_resource(name, values)
            )
        resources[name] = compiled
    return resources


def list_overlay_sections(kind: str, overlay: Overlay | None) -> dict[str, Section]:
    """Return the sections of one kind in an overlay, by name."""
    if overlay is None:
        return {}
    return {
        name: located.section
        for (section_kind, name), located in overlay.sections.items()
        if section_kind == kind
    }


def make_cluster(name: str, values: Mapping[str, Any]) -> Cluster:
    """Return the cluster defined by the values of a section ``service``."""
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
    """Return the route defined by the values of a section ``route``."""
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
    """Return the listener defined by section ``mesh`` and the site's overlay."""
    located = None if overlay is None else overlay.sections.get(("mesh", ""))
    entries = merge_entries(base, None if located is None else located.section)
    return Listener(
        max_header_size=entries["max_header_size"].value,
        max_body_size=entries["max_body_size"].value,
        max_hops=entries["max_hops"].value,
    )
