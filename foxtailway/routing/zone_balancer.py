"""Load balancing that prefers endpoints in the local availability zone."""

from collections.abc import Iterable, Mapping
from random import Random

from foxtailway.model.host import Host
from foxtailway.model.snapshot import Cluster
from foxtailway.routing.balancer import CallObservation, LoadBalancer, ObservationKind
from foxtailway.routing.cluster_state import ClusterState, Tier
from foxtailway.routing.endpoint import FAILURE_KINDS, EndpointState

__all__ = ["ZoneAwareBalancer"]

# Time for which a draining endpoint receives no new calls.
DRAINING_S = 15.0
# Random draws after which an endpoint in slow start is used.
MAX_DRAWS = 4


class ZoneAwareBalancer(LoadBalancer):
    """Load balancer by distance, then by the better of two random endpoints.

    Parameters
    ----------
    zone : str
        Availability zone of the node.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    random_source : Random
        Source of random numbers.

    Notes
    -----
    Endpoints form three tiers: the local zone, the local region, other regions.
    Each refusal for overload lowers the share of calls that its tier keeps by a
    tenth; time without refusals raises it. Calls beyond the share go to the next
    tier, as do calls that arrive while this node's calls occupy all slots of the tier.
    Within a tier two endpoints are drawn at random and the one with the lower
    cost is chosen: calls in flight times latency, increased by failures and
    refusals. If one of the two has no recent latency, latencies are left out of
    the comparison, so that the endpoint gets calls again.

    An endpoint whose calls fail is ejected, up to ``max_ejected_ratio`` of the
    cluster. Ejected endpoints are used only if no other endpoint is available;
    draining ones are never used.
    """

    def __init__(
        self, *, zone: str, zone_regions: Mapping[str, str], random_source: Random
    ) -> None:
        self.zone = zone
        self.zone_regions = zone_regions
        self.random_source = random_source
        self.clusters: dict[str, ClusterState] = {}

    def update(self, cluster: Cluster, endpoints: tuple[Host, ...], now: float) -> None:
        """Apply a cluster's settings and its list of endpoints."""
        state = self.clusters.get(cluster.name)
        is_first = state is None
        if state is None:
            state = ClusterState(cluster=cluster)
            self.clusters[cluster.name] = state
        state.cluster = cluster
        if state.endpoints == endpoints:
            return
        state.endpoints = endpoints
        ready_at = float("-inf") if is_first else now
        states = {}
        for host in endpoints:
            previous = state.endpoint_states.get(host.host_id)
            if previous is None or is_relocated(previous.host, host):
                previous = EndpointState(host=host, ready_at=ready_at)
            previous.host = host
            states[host.host_id] = previous
        state.endpoint_states = states
        self.assign_tiers(state)

    def retain(self, cluster_names: frozenset[str]) -> None:
        """Remove the state of all clusters except the named ones."""
        for name in self.clusters.keys() - cluster_names:
            del self.clusters[name]

    def assign_tiers(self, state: ClusterState) -> None:
        """Assign the endpoints to tiers by distance."""
        state.tier_by_host = {}
        for tier in state.tiers:
            tier.endpoint_states = []
        for endpoint in state.endpoint_states.values():
            tier = state.tiers[self.measure_distance(endpoint.host.zone)]
            tier.endpoint_states.append(endpoint)
            state.tier_by_host[endpoint.host_id] = tier

    def measure_distance(self, zone: str) -> int:
        """Return 0 for the local zone, 1 for the local region, 2 for other regions."""
        if zone == self.zone:
            return 0
        region = self.zone_regions.get(zone)
        is_near = region is not None and region == self.zone_regions.get(self.zone)
        return 1 if is_near else 2

    def choose(
        self,
        cluster_name: str,
        excluded: frozenset[str],
        candidates: frozenset[str] | None,
        now: float,
    ) -> Host | None:
        """Choose the endpoint for one call, or return None."""
        state = self.clusters.get(cluster_name)
        if state is None:
            return None
        return self.choose_by_tier(
            state, excluded, candidates, now
        ) or self.choose_ejected(state, excluded, candidates, now)

    def choose_by_tier(
        self,
        state: ClusterState,
        excluded: frozenset[str],
        candidates: frozenset[str] | None,
        now: float,
    ) -> Host | None:
        """Choose from the nearest tier that has capacity.

        If none has, the nearest tier with an available endpoint is used.
        """
        nearest: list[EndpointState] = []
        for tier in state.tiers:
            available = [
                endpoint
                for endpoint in tier.endpoint_states
                if endpoint.ejected_until <= now
                and endpoint.draining_until <= now
                and endpoint.host_id not in excluded
                and (candidates is None or endpoint.host_id in candidates)
            ]
            if not available:
                continue
            if not nearest:
                nearest = available
            if self.has_capacity(tier, available, state.cluster.n_slots, now):
                return self.choose_of_two(available, state.cluster, now).host
        if not nearest:
            return None
        return self.choose_of_two(nearest, state.cluster, now).host

    def has_capacity(
        self, tier: Tier, available: list[EndpointState], n_slots: int, now: float
    ) -> bool:
        """Return whether a slot is free and, by random draw, the tier keeps a call."""
        if all(endpoint.n_in_flight >= n_slots for endpoint in available):
            return False
        tier.recover(now)
        return tier.share >= 1.0 or self.random_source.random() < tier.share

    def choose_ejected(
        self,
        state: ClusterState,
        excluded: frozenset[str],
        candidates: frozenset[str] | None,
        now: float,
    ) -> Host | None:
        """Choose among ejected endpoints, since no other one is available."""
        for tier in state.tiers:
            ejected = [
                endpoint
                for endpoint in tier.endpoint_states
                if endpoint.draining_until <= now
                and endpoint.host_id not in excluded
                and (candidates is None or endpoint.host_id in candidates)
            ]
            if ejected:
                return self.choose_of_two(ejected, state.cluster, now).host
        return None

    def choose_of_two(
        self, endpoints: list[EndpointState], cluster: Cluster, now: float
    ) -> EndpointState:
        """Return the endpoint with the lower cost of two random ones."""
        if len(endpoints) == 1:
            return endpoints[0]
        first = self.draw_endpoint(endpoints, cluster, now)
        second = self.draw_endpoint(endpoints, cluster, now)
        first.decay_ratios(now)
        second.decay_ratios(now)
        first_cost = first.cost()
        second_cost = second.cost()
        if not first.is_latency_stale(now) and not second.is_latency_stale(now):
            first_cost *= first.latency_s
            second_cost *= second.latency_s
        return first if first_cost <= second_cost else second

    def draw_endpoint(
        self, endpoints: list[EndpointState], cluster: Cluster, now: float
    ) -> EndpointState:
        """Draw a random endpoint; redraw one in slow start with some probability."""
        random = self.random_source.random
        slow_start_s = cluster.slow_start_s
        for _ in range(MAX_DRAWS):
            endpoint = endpoints[int(random() * len(endpoints))]
            if now - endpoint.ready_at >= slow_start_s:
                return endpoint
            if random() < endpoint.slow_start_share(slow_start_s, now):
                return endpoint
        return endpoint

    def begin(self, cluster_name: str, host_id: str, now: float) -> None:
        """Count a call that is about to be sent to an endpoint."""
        endpoint = self.find_endpoint(cluster_name, host_id)
        if endpoint is not None:
            endpoint.n_in_flight += 1

    def finish(
        self, cluster_name: str, host_id: str, now: float, observation: CallObservation
    ) -> None:
        """Record the end of a call for which `begin` was called."""
        endpoint = self.find_endpoint(cluster_name, host_id)
        if endpoint is None:
            return
        endpoint.n_in_flight = max(0, endpoint.n_in_flight - 1)
        endpoint.observe(observation, now)
        state = self.clusters[cluster_name]
        if observation.kind is ObservationKind.REFUSED_DRAINING:
            endpoint.draining_until = now + DRAINING_S
        if observation.kind is ObservationKind.REFUSED_OVERLOAD:
            state.tier_by_host[host_id].record_refusal(now)
        if observation.kind in FAILURE_KINDS:
            self.eject_failing(state, endpoint, now)

    def eject_failing(
        self, state: ClusterState, endpoint: EndpointState, now: float
    ) -> None:
        """Eject a failing endpoint, unless too many are ejected already."""
        is_ejected = endpoint.ejected_until > now
        if endpoint.is_failing and not is_ejected and state.can_eject(now):
            endpoint.eject(now)

    def mark_draining(self, host_id: str, now: float) -> None:
        """Send a host no new calls for a fixed time or until it is listed again."""
        for endpoint in self.list_states(host_id):
            endpoint.draining_until = now + DRAINING_S

    def list_states(self, host_id: str) -> Iterable[EndpointState]:
        """Yield the states of a host's endpoints in all clusters."""
        for state in self.clusters.values():
            if host_id in state.endpoint_states:
                yield state.endpoint_states[host_id]

    def find_endpoint(self, cluster_name: str, host_id: str) -> EndpointState | None:
        """Return the state of an endpoint, or None if it is not listed."""
        state = self.clusters.get(cluster_name)
        return None if state is None else state.endpoint_states.get(host_id)


def is_relocated(previous: Host, host: Host) -> bool:
    """Return whether the address of a host changed, so that its process is new."""
    return (previous.address, previous.mesh_port) != (host.address, host.mesh_port)
