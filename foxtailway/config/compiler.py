"""Compilation of configurations and host lists into immutable snapshots."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from expression import Error, Ok, Result

from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.configuration import Configuration, read_configuration
from foxtailway.config.finding import Finding
from foxtailway.config.fleet import Fleet, read_fleet, restrict_fleet
from foxtailway.config.resource import (
    CompiledResource,
    build_resources,
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
    """The reason why a version cannot be applied.

    Parameters
    ----------
    failure : Failure
        Step and document at which the version failed.
    findings : tuple of Finding
        All findings about the configuration; empty if the failure has another
        cause, such as an invalid host list.
    """

    failure: Failure
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CompilerState:
    """The parts of the last successful compilation, for reuse.

    Parameters
    ----------
    digests : tuple of tuple
        Key and digest of each configuration document.
    configuration : Configuration
        Checked configuration.
    fleet : Fleet
        Hosts of all availability zones.
    clusters, routes : Mapping of str to CompiledResource
        Resources compiled from the sections, by name.
    ordered_routes : tuple of Route
        Routes with the longest path prefix first.
    """

    digests: tuple[tuple[str, bytes], ...]
    configuration: Configuration
    fleet: Fleet
    clusters: Mapping[str, CompiledResource]
    routes: Mapping[str, CompiledResource]
    ordered_routes: tuple[Route, ...]


class SnapshotCompiler:
    """Compiler of successive versions for one site.

    Sections, host lines and services that did not change since the last valid
    version are reused. A rejected version leaves the compiler unchanged.

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
            Snapshot with all references resolved, or a rejection.
        """
        configuration = self.read_configuration(config)
        if configuration.findings:
            return Error(make_findings_rejection(configuration.findings))
        if self.site not in configuration.base.sites:
            return Error(make_site_rejection(self.site))
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
        """Return the checked configuration; the last one if no document changed."""
        if self.state is None:
            return read_configuration(config.documents, previous=None)
        if self.state.digests == list_digests(config):
            return self.state.configuration
        return read_configuration(config.documents, previous=self.state.configuration)

    def build_state(
        self, config: Bundle, configuration: Configuration, fleet: Fleet
    ) -> CompilerState:
        """Return the state that a valid configuration and its hosts compile to."""
        previous = self.state
        if previous is not None and previous.configuration is configuration:
            return replace(previous, fleet=fleet)
        overlay = configuration.overlays.get(self.site)
        clusters = build_resources(
            configuration.base.services,
            kind="service",
            overlay=overlay,
            make_resource=make_cluster,
            previous={} if previous is None else previous.clusters,
        )
        routes = build_resources(
            configuration.base.routes,
            kind="route",
            overlay=overlay,
            make_resource=make_route,
            previous={} if previous is None else previous.routes,
        )
        return CompilerState(
            digests=list_digests(config),
            configuration=configuration,
            fleet=fleet,
            clusters=clusters,
            routes=routes,
            ordered_routes=order_routes(
                routes, previous=() if previous is None else previous.ordered_routes
            ),
        )

    def build_snapshot(
        self, config: Bundle, hosts: Bundle, state: CompilerState
    ) -> Snapshot:
        """Return the snapshot.

        A cluster without a live host is left out, and its routes are withdrawn.
        """
        configuration = state.configuration
        zone_regions = list_zone_regions(configuration.base)
        fleet = restrict_fleet(state.fleet, zones=zone_regions)
        clusters = {
            name: compiled.resource
            for name, compiled in state.clusters.items()
            if name in fleet.live_by_service
        }
        routes = state.ordered_routes
        secret_names = {
            cluster.secret for cluster in clusters.values() if cluster.secret
        }
        return Snapshot(
            version=config.version,
            hosts_version=hosts.version,
            site=self.site,
            listener=make_listener(
                configuration.base.mesh.section,
                configuration.overlays.get(self.site),
            ),
            routes=tuple(route for route in routes if route.cluster in clusters),
            clusters=MappingProxyType(clusters),
            endpoints=MappingProxyType(
                {name: fleet.live_by_service[name] for name in clusters}
            ),
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
    resources: Mapping[str, CompiledResource], *, previous: tuple[Route, ...]
) -> tuple[Route, ...]:
    """Return the routes with the longest path prefix first.

    The routes are put into the previous order before sorting, because the sort is
    fast on input that is almost sorted.
    """
    names = {**dict.fromkeys([route.name for route in previous]), **resources}
    routes: list[Route] = [
        resources[name].resource for name in names if name in resources
    ]
    routes.sort(key=make_route_sort_key)
    return tuple(routes)


def make_route_sort_key(route: Route) -> tuple[int, str, str]:
    """Return the sort key of a route: longest prefix first, then by prefix and name."""
    return (-len(route.path_prefix), route.path_prefix, route.name)


def list_digests(bundle: Bundle) -> tuple[tuple[str, bytes], ...]:
    """Return the key and digest of each document."""
    return tuple((document.key, document.digest) for document in bundle.documents)


def make_findings_rejection(findings: tuple[Finding, ...]) -> Rejection:
    """Return the rejection of a configuration with findings."""
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


def make_site_rejection(site: str) -> Rejection:
    """Return the rejection of a configuration without a section for the site."""
    return Rejection(
        failure=Failure(
            step=Step.COMPILE,
            kind=FailureKind.INVALID,
            peer=BASE_KEY,
            detail=f"the base file has no section [site {site}]",
        ),
        findings=(),
    )
