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
    """Swap snapshots whole and keep what was learned across them.

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
        self.budgets: dict[str, RetryBudget] = {}

    def apply(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force; calls in flight keep theirs."""
        now = self.clock.now()
        previous = self.snapshot
        if previous is None or previous.routes != snapshot.routes:
            self.route_table = RouteTable(routes=snapshot.routes)
        self.balancer.zone_regions = snapshot.zone_regions
        for name, cluster in snapshot.clusters.items():
            if not is_same(previous, cluster, snapshot.endpoints[name]):
                self.balancer.update(cluster, snapshot.endpoints[name], now)
            if previous is None or previous.clusters.get(name) != cluster:
                self.budgets[name] = RetryBudget(ratio=cluster.retry_ratio)
        names = frozenset(snapshot.clusters)
        self.balancer.retain(names)
        for name in self.budgets.keys() - names:
            del self.budgets[name]
        self.snapshot = snapshot

    def record_call(self, cluster: str, now: float) -> None:
        """Let a call earn its share of a retry."""
        budget = self.budgets.get(cluster)
        if budget is not None:
            budget.record_call(now)

    def retry_delay(
        self,
        *,
        route: Route,
        refusal: Refusal,
        n_attempts: int,
        deadline: float,
        now: float,
    ) -> float | None:
        """Return the delay before the next attempt, or None to give up."""
        budget = self.budgets.get(route.cluster)
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
        """Return the endpoints of a cluster in the own region."""
        if self.snapshot is None:
            return ()
        regions = self.snapshot.zone_regions
        return tuple(
            host
            for host in self.snapshot.endpoints.get(cluster, ())
            if regions.get(host.zone) == regions.get(self.zone)
        )

    def credential(self, cluster: str) -> bytes | None:
        """Return the secret presented to a cluster's upstreams, if any."""
        settings = self.find_cluster(cluster)
        if settings is None or settings.secret is None:
            return None
        return self.snapshot.secrets[settings.secret].value


def is_same(
    previous: Snapshot | None, cluster: Cluster, endpoints: tuple[Host, ...]
) -> bool:
    """Whether a cluster and its endpoints are unchanged."""
    if previous is None:
        return False
    is_same_cluster = previous.clusters.get(cluster.name) == cluster
    return is_same_cluster and previous.endpoints.get(cluster.name) == endpoints
