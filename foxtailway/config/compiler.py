"""Compilation of documents into one immutable snapshot."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.configuration import Configuration, read_configuration
from foxtailway.config.finding import Finding
from foxtailway.config.fleet import Fleet, read_fleet, restrict_fleet
from foxtailway.config.item import (
    Item,
    build_items,
    make_cluster,
    make_listener,
    make_route,
)
from foxtailway.config.zones import list_zone_regions
from foxtailway.model.bundle import BASE_KEY, Bundle
from foxtailway.model.snapshot import Route, Snapshot

__all__ = ["Rejection", "SnapshotCompiler"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Tell why a version can't be applied.

    Parameters
    ----------
    failure : Failure
        Step and document at which the version failed.
    findings : tuple of Finding
        All findings about the configuration; empty for a bad host list.
    """

    failure: Failure
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CompilerState:
    """Keep the parts of the last good compilation for reuse.

    Parameters
    ----------
    digests : tuple of tuple
        Key and digest of each configuration document.
    configuration : Configuration
        Checked configuration.
    fleet : Fleet
        Hosts of all zones.
    clusters, routes : Mapping of str to Item
        Products of the sections.
    ordered_routes : tuple of Route
        Routes with the longest path prefix first.
    """

    digests: tuple[tuple[str, bytes], ...]
    configuration: Configuration
    fleet: Fleet
    clusters: Mapping[str, Item]
    routes: Mapping[str, Item]
    ordered_routes: tuple[Route, ...]


class SnapshotCompiler:
    """Validate and compile versions for one site, one after the other.

    Sections, host lines and services that did not change since the last good
    version are reused; a rejected version leaves no trace.

    Parameters
    ----------
    site : str
        Availability zone whose overlay applies.
    """

    def __init__(self, *, site: str) -> None:
        self.site = site
        self.state: CompilerState | None = None

    def compile(self, *, config: Bundle, hosts: Bundle) -> Result[Snapshot, Rejection]:
        """Compile a configuration and a host list.

        Parameters
        ----------
        config : Bundle
            Base file, all overlays and all secrets.
        hosts : Bundle
            Host lists of all availability zones.

        Returns
        -------
        Result
            One snapshot with every reference resolved, or a rejection.
        """
        configuration = self.read_configuration(config)
        if configuration.findings:
            return Error(reject_findings(configuration.findings))
        if self.site not in configuration.base.sites:
            return Error(reject_site(self.site))
        fleet = read_fleet(
            hosts.documents,
            previous=None if self.state is None else self.state.fleet,
        )
        if fleet.is_error():
            return Error(Rejection(failure=fleet.error, findings=()))
        state = self.build_state(config, configuration, fleet.ok)
        snapshot = self.build_snapshot(config, hosts, state)
        self.state = state
        return Ok(snapshot)

    def read_configuration(self, config: Bundle) -> Configuration:
        """Return the checked configuration, the last one if nothing changed."""
        if self.state is None:
            return read_configuration(config.documents, previous=None)
        if self.state.digests == list_digests(config):
            return self.state.configuration
        return read_configuration(config.documents, previous=self.state.configuration)

    def build_state(
        self, config: Bundle, configuration: Configuration, fleet: Fleet
    ) -> CompilerState:
        """Build clusters and routes of a valid configuration."""
        last = self.state
        if last is not None and last.configuration is configuration:
            return replace(last, fleet=fleet)
        overlay = configuration.overlays.get(self.site)
        clusters = build_items(
            configuration.base.services,
            kind="service",
            overlay=overlay,
            make=make_cluster,
            previous={} if last is None else last.clusters,
        )
        routes = build_items(
            configuration.base.routes,
            kind="route",
            overlay=overlay,
            make=make_route,
            previous={} if last is None else last.routes,
        )
        return CompilerState(
            digests=list_digests(config),
            configuration=configuration,
            fleet=fleet,
            clusters=clusters,
            routes=routes,
            ordered_routes=order_routes(
                routes, previous=() if last is None else last.ordered_routes
            ),
        )

    def build_snapshot(
        self, config: Bundle, hosts: Bundle, state: CompilerState
    ) -> Snapshot:
        """Assemble the snapshot; routes without an endpoint are withdrawn."""
        configuration = state.configuration
        zone_regions = list_zone_regions(configuration.base)
        fleet = restrict_fleet(state.fleet, zones=zone_regions)
        clusters = {
            name: item.product
            for name, item in state.clusters.items()
            if name in fleet.live
        }
        routes = state.ordered_routes
        secret_names = {
            cluster.secret for cluster in clusters.values() if cluster.secret
        }
        return Snapshot(
            version=config.version,
            hosts_version=hosts.version,
            zone=self.site,
            listener=make_listener(
                configuration.base.mesh.section,
                configuration.overlays.get(self.site),
            ),
            routes=tuple(route for route in routes if route.cluster in clusters),
            clusters=MappingProxyType(clusters),
            endpoints=MappingProxyType({name: fleet.live[name] for name in clusters}),
            hosts=MappingProxyType(fleet.hosts),
            secrets=MappingProxyType(
                {name: configuration.secrets[name] for name in sorted(secret_names)}
            ),
            withdrawn_routes=tuple(
                sorted(route.name for route in routes if route.cluster not in clusters)
            ),
            zone_regions=zone_regions,
        )


def order_routes(
    items: Mapping[str, Item], *, previous: tuple[Route, ...]
) -> tuple[Route, ...]:
    """Return routes with the longest path prefix first.

    Sorting starts from the earlier order, since it is fast on what is sorted.
    """
    names = {**dict.fromkeys([route.name for route in previous]), **items}
    routes: list[Route] = [items[name].product for name in names if name in items]
    routes.sort(key=rank_route)
    return tuple(routes)


def rank_route(route: Route) -> tuple[int, str, str]:
    """Return the key by which routes are ordered."""
    return (-len(route.path_prefix), route.path_prefix, route.name)


def list_digests(bundle: Bundle) -> tuple[tuple[str, bytes], ...]:
    """Return key and digest of each document."""
    return tuple((document.key, document.digest) for document in bundle.documents)


def reject_findings(findings: tuple[Finding, ...]) -> Rejection:
    """Build the rejection of a configuration with findings."""
    first = findings[0]
    return Rejection(
        failure=Failure(
            step=Step.CONFIG_VALIDATE,
            kind=FailureKind.INVALID,
            peer=first.source,
            detail=f"{first} (first of {len(findings)})",
        ),
        findings=findings,
    )


def reject_site(site: str) -> Rejection:
    """Build the rejection of a configuration without the compiler's site."""
    return Rejection(
        failure=Failure(
            step=Step.COMPILE,
            kind=FailureKind.INVALID,
            peer=BASE_KEY,
            detail=f"the base file has no section [site {site}]",
        ),
        findings=(),
    )
