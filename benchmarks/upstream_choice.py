"""Comparison of load balancers in simulated time.

Nodes of four availability zones in two regions call one service with upstreams in
every zone. One zone makes half of the calls. In the second half of the simulation
one upstream of that zone loses every call. Each upstream has a separate admission
queue.
"""

import json
from collections import Counter
from heapq import heappop, heappush
from random import Random

from foxtailway.model import Cluster, Host, HostState
from foxtailway.routing import (
    AdmissionDecision,
    Admitted,
    CallObservation,
    LoadBalancer,
    ObservationKind,
    PendingCall,
    ZoneAwareBalancer,
    make_admission_queue,
)

__all__ = ["main"]

# Region of each availability zone.
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
# Upstreams in a zone.
N_HOSTS_PER_ZONE = 4
# Nodes in a zone that make calls.
N_NODES_PER_ZONE = 10
# Slots of an upstream.
N_SLOTS = 10
# Mean run time of a call.
SERVICE_S = 0.02
# Time from an attempt to its deadline at the upstream.
DEADLINE_S = 1.0
# Time until a node detects that a call is lost.
LOSS_S = 0.02
# Simulated time during which calls arrive.
DURATION_S = 10.0
# Time at which the faulty upstream starts to lose calls.
FAULT_AT_S = 5.0
# Zone that makes most of the calls.
BUSY_ZONE = "a1"
# Share of the calls that the busy zone makes.
BUSY_ZONE_RATIO = 0.5
# Largest number of attempts of a call.
MAX_ATTEMPTS = 3
# Seed of the simulation.
SEED = 23
# Cluster of the service.
CLUSTER = Cluster(
    name="service",
    n_slots=N_SLOTS,
    n_connections=100,
    n_queued=10,
    queue_timeout_s=0.1,
    retry_ratio=0.1,
    max_ejected_ratio=0.5,
    slow_start_s=5.0,
    n_crash_hosts=2,
    quarantine_s=30.0,
    secret=None,
)
# Hosts of the upstreams.
HOSTS = tuple(
    Host(
        host_id=f"{zone}-{index}",
        address="127.0.0.1",
        mesh_port=7000,
        zone=zone,
        service="service",
        state=HostState.LIVE,
    )
    for zone in REGIONS
    for index in range(N_HOSTS_PER_ZONE)
)
# Hosts by identifier.
HOSTS_BY_ID = {host.host_id: host for host in HOSTS}
# Host that loses every call from FAULT_AT_S on.
FAULTY_HOST_ID = f"{BUSY_ZONE}-0"
# Calls per second that all upstreams serve together.
CAPACITY_PER_S = len(HOSTS) * N_SLOTS / SERVICE_S


class RandomBalancer(ZoneAwareBalancer):
    """Balancer that chooses a random endpoint."""

    def choose(
        self,
        cluster_name: str,
        excluded: frozenset[str],
        candidates: frozenset[str] | None,
        now: float,
    ) -> Host | None:
        """Return a random host that is not excluded."""
        hosts = [host for host in HOSTS if host.host_id not in excluded]
        return self.random_source.choice(hosts)


class LocalZoneBalancer(RandomBalancer):
    """Balancer that chooses a random endpoint of the local zone."""

    def choose(
        self,
        cluster_name: str,
        excluded: frozenset[str],
        candidates: frozenset[str] | None,
        now: float,
    ) -> Host | None:
        """Return a random host of the local zone, or of any if all are excluded."""
        hosts = [
            host
            for host in HOSTS
            if host.zone == self.zone and host.host_id not in excluded
        ]
        if not hosts:
            return super().choose(cluster_name, excluded, candidates, now)
        return self.random_source.choice(hosts)


class Call:
    """State of one call.

    Parameters
    ----------
    balancer : LoadBalancer
        Balancer of the node that makes the call.
    zone : str
        Zone of the node.
    arrived_at : float
        Simulated time of the arrival, in seconds.
    """

    def __init__(self, *, balancer: LoadBalancer, zone: str, arrived_at: float) -> None:
        self.balancer = balancer
        self.zone = zone
        self.arrived_at = arrived_at
        self.excluded: frozenset[str] = frozenset()
        self.host_id = ""
        self.sent_at = arrived_at


class Simulation:
    """Simulation of all nodes and upstreams with one type of balancer.

    Parameters
    ----------
    balancer_type : type
        Type of the balancer of every node.
    load : float
        Offered load as a multiple of the capacity.
    """

    def __init__(self, *, balancer_type: type[ZoneAwareBalancer], load: float) -> None:
        self.random_source = Random(SEED)
        self.load = load
        self.balancers = {zone: [] for zone in REGIONS}
        for zone in REGIONS:
            for _ in range(N_NODES_PER_ZONE):
                balancer = balancer_type(
                    zone=zone,
                    zone_regions=REGIONS,
                    random_source=Random(self.random_source.random()),
                )
                balancer.update(CLUSTER, HOSTS, 0.0)
                self.balancers[zone].append(balancer)
        self.queues = {
            host.host_id: make_admission_queue(host_id=host.host_id, cluster=CLUSTER)
            for host in HOSTS
        }
        self.events: list[tuple[float, int, str, str]] = []
        self.calls: dict[str, Call] = {}
        self.n_events = 0
        self.latencies_s: list[float] = []
        self.counts: Counter[str] = Counter()

    def schedule(self, at: float, kind: str, call_id: str = "") -> None:
        """Schedule an event.

        Parameters
        ----------
        at : float
            Simulated time in seconds.
        kind : str
            ``arrive``, ``expire``, ``lost`` or ``finish``.
        call_id : str, default=""
            Identifier of the call; of the host for ``expire``.
        """
        self.n_events += 1
        heappush(self.events, (at, self.n_events, kind, call_id))

    def run(self) -> None:
        """Simulate until no events are left."""
        self.schedule(0.0, "arrive")
        while self.events:
            now, _, kind, call_id = heappop(self.events)
            if kind == "arrive":
                self.arrive(now)
            elif kind == "expire":
                queue = self.queues[call_id]
                self.apply(call_id, queue.expire(now), now)
            elif kind == "lost":
                self.end(call_id, ObservationKind.LOST, now)
            elif kind == "finish":
                self.finish(call_id, now)

    def arrive(self, now: float) -> None:
        """Make one call and schedule the next arrival."""
        next_arrival_at = now + self.random_source.expovariate(
            CAPACITY_PER_S * self.load
        )
        if next_arrival_at < DURATION_S:
            self.schedule(next_arrival_at, "arrive")
        others = [zone for zone in REGIONS if zone != BUSY_ZONE]
        is_busy = self.random_source.random() < BUSY_ZONE_RATIO
        zone = BUSY_ZONE if is_busy else self.random_source.choice(others)
        balancer = self.random_source.choice(self.balancers[zone])
        call_id = str(self.counts["calls"])
        self.counts["calls"] += 1
        self.calls[call_id] = Call(balancer=balancer, zone=zone, arrived_at=now)
        self.send(call_id, now)

    def send(self, call_id: str, now: float) -> None:
        """Make one attempt of a call."""
        call = self.calls[call_id]
        host = call.balancer.choose("service", call.excluded, None, now)
        call.host_id = host.host_id
        call.sent_at = now
        call.balancer.begin("service", host.host_id, now)
        self.counts["other region"] += REGIONS[host.zone] != REGIONS[call.zone]
        self.counts["attempts"] += 1
        if host.host_id == FAULTY_HOST_ID and now >= FAULT_AT_S:
            self.schedule(now + LOSS_S, "lost", call_id)
            return
        queue = self.queues[host.host_id]
        pending = PendingCall(
            call_id=call_id, caller=call.zone, priority=0, deadline=now + DEADLINE_S
        )
        self.apply(host.host_id, queue.offer(pending, now), now)
        if call_id in queue.waiting:
            self.schedule(queue.waiting[call_id].expires_at, "expire", host.host_id)

    def apply(
        self, host_id: str, decisions: tuple[AdmissionDecision, ...], now: float
    ) -> None:
        """Run the admitted calls and retry the refused ones at other hosts."""
        for decision in decisions:
            if isinstance(decision, Admitted):
                service_s = self.random_source.gammavariate(4.0, SERVICE_S / 4.0)
                self.schedule(now + service_s, "finish", decision.call_id)
                continue
            call = self.calls[decision.call_id]
            self.counts["refused"] += 1
            self.observe(call, ObservationKind.REFUSED_OVERLOAD, now)
            call.excluded |= {host_id}
            if len(call.excluded) < MAX_ATTEMPTS:
                self.send(decision.call_id, now)
            else:
                self.counts["failed"] += 1

    def finish(self, call_id: str, now: float) -> None:
        """Finish a call successfully."""
        call = self.calls[call_id]
        queue = self.queues[call.host_id]
        decisions = queue.release(call_id, now, now - call.sent_at, True)
        self.latencies_s.append(now - call.arrived_at)
        self.end(call_id, ObservationKind.SUCCESS, now)
        self.apply(call.host_id, decisions, now)

    def end(self, call_id: str, kind: ObservationKind, now: float) -> None:
        """End a call that succeeds or is lost."""
        if kind is ObservationKind.LOST:
            self.counts["lost"] += 1
        self.observe(self.calls[call_id], kind, now)

    def observe(self, call: Call, kind: ObservationKind, now: float) -> None:
        """Report the result of an attempt to the balancer."""
        observation = CallObservation(kind=kind, latency_s=now - call.sent_at)
        call.balancer.finish("service", call.host_id, now, observation)


def measure(
    name: str, balancer_type: type[ZoneAwareBalancer], load: float
) -> dict[str, object]:
    """Return the figures of one simulation."""
    simulation = Simulation(balancer_type=balancer_type, load=load)
    simulation.run()
    latencies_s = sorted(simulation.latencies_s)
    counts = simulation.counts
    n_calls = counts["calls"]
    return {
        "measure": "upstream_choice",
        "balancer": name,
        "load": load,
        "p50_ms": round(latencies_s[len(latencies_s) // 2] * 1e3, 1),
        "p99_ms": round(latencies_s[len(latencies_s) * 99 // 100] * 1e3, 1),
        "refused_per_call": round(counts["refused"] / n_calls, 4),
        "failed_ratio": round(counts["failed"] / n_calls, 4),
        "lost_ratio": round(counts["lost"] / n_calls, 5),
        "other_region_ratio": round(counts["other region"] / counts["attempts"], 4),
    }


def main() -> None:
    """Print one JSON object for each load and balancer."""
    balancers = {
        "random": RandomBalancer,
        "own zone": LocalZoneBalancer,
        "zone aware": ZoneAwareBalancer,
    }
    for load in (0.3, 0.6, 0.8):
        for name, balancer_type in balancers.items():
            print(json.dumps(measure(name, balancer_type, load)))


if __name__ == "__main__":
    main()
