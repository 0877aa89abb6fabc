"""Snapshot in force and the decisions that depend on it."""

from random import Random

from foxtailway.common.clock import Clock
from foxtailway.model.host import Host
from foxtailway.model.snapshot import Cluster, Route, Snapshot
from foxtailway.routing.outcome import Refusal
from foxtailway.routing.retry import RetryBudget, RetryPolicy
from foxtailway.routing.route_table import RouteTable
from foxtailway.routing.zone_balancer import ZoneAwareBalancer

__all__ = ["RoutingState"]


class RoutingState:
    """Apply snapshots as a whole and keep load and retry state across them.

    Parameters
    ----------
    zone : str
        Availability zone of the node.
    clock : Clock
        Source of time.
    random_source : Random
        Source of jitter.
    """

    def __init__(self, *, zone: str, clock: Clock, random_source: Random) -> None:
        self.zone = zone
        self.clock = clock
        self.snapshot: Snapshot | None = None
        self.route_table = RouteTable(routes=())
        self.balancer = ZoneAwareBalancer(
            zone=zone, zone_regions={}, random_source=random_source
        )
        self.retry_policy = RetryPolicy(random_source=random_source)
        self.retry_budgets: dict[str, RetryBudget] = {}

    def apply(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force; calls in flight keep the previous one."""
        now = self.clock.now()
        previous = self.snapshot
        if previous is None or previous.routes != snapshot.routes:
            self.route_table = RouteTable(routes=snapshot.routes)
        self.balancer.zone_regions = snapshot.zone_regions
        for name, cluster in snapshot.clusters.items():
            if not is_unchanged(previous, cluster, snapshot.endpoints[name]):
                self.balancer.update(cluster, snapshot.endpoints[name], now)
            if previous is None or previous.clusters.get(name) != cluster:
                self.retry_budgets[name] = RetryBudget(ratio=cluster.retry_ratio)
        names = frozenset(snapshot.clusters)
        self.balancer.retain(names)
        for name in self.retry_budgets.keys() - names:
            del self.retry_budgets[name]
        self.snapshot = snapshot

    def record_call(self, cluster: str, now: float) -> None:
        """Add a call to the retry budget of its cluster."""
        budget = self.retry_budgets.get(cluster)
        if budget is not None:
            budget.record_call(now)

    def compute_retry_delay_s(
        self,
        *,
        route: Route,
        refusal: Refusal,
        n_attempts: int,
        deadline: float,
        now: float,
    ) -> float | None:
        """Return the delay before a retry in seconds; None for no retry."""
        budget = self.retry_budgets.get(route.cluster)
        if budget is None:
            return None
        decision = self.retry_policy.decide(
            refusal=refusal,
            route=route,
            n_attempts=n_attempts,
            deadline=deadline,
            budget=budget,
            now=now,
        )
        return decision.delay_s if decision.is_retried else None

    def find_cluster(self, name: str) -> Cluster | None:
        """Return a cluster of the snapshot in force, or None."""
        if self.snapshot is None:
            return None
        return self.snapshot.clusters.get(name)

    def list_region_endpoints(self, cluster: str) -> tuple[Host, ...]:
        """Return the endpoints of a cluster in the region of the node."""
        if self.snapshot is None:
            return ()
        regions = self.snapshot.zone_regions
        return tuple(
            host
            for host in self.snapshot.endpoints.get(cluster, ())
            if regions.get(host.zone) == regions.get(self.zone)
        )

    def find_credential(self, cluster: str) -> bytes | None:
        """Return the secret presented to a cluster's upstreams, or None."""
        settings = self.find_cluster(cluster)
        if settings is None or settings.secret is None:
            return None
        return self.snapshot.secrets[settings.secret].value


def is_unchanged(
    previous: Snapshot | None, cluster: Cluster, endpoints: tuple[Host, ...]
) -> bool:
    """Return whether a cluster and its endpoints are unchanged."""
    if previous is None:
        return False
    is_same_cluster = previous.clusters.get(cluster.name) == cluster
    return is_same_cluster and previous.endpoints.get(cluster.name) == endpoints
