"""Time that a node needs for the decisions on each call."""

import json
from collections.abc import Callable
from random import Random
from time import perf_counter

from foxtailway.model import Cluster, Host, HostState, Route
from foxtailway.routing import (
    CallObservation,
    CrashContainment,
    HomeGuard,
    ObservationKind,
    Outcome,
    PendingCall,
    RequestLedger,
    RouteTable,
    ZoneAwareBalancer,
    choose_home,
    compute_fingerprint,
    digest_request_key,
    make_admission_queue,
)

__all__ = ["main"]

# Services of the design size.
N_SERVICES = 910
# Endpoints of a service at the design size.
N_ENDPOINTS = 31
# Availability zones of the design size.
N_ZONES = 32
# Availability zones in a region.
N_ZONES_PER_REGION = 4
# Decisions for each measurement.
N_REPEATS = 20_000
# Body of a request, 1 KiB.
BODY = b"x" * 1024

# Endpoints of the measured service.
ENDPOINTS = tuple(
    Host(
        host_id=f"host-{index}",
        address="127.0.0.1",
        mesh_port=7000 + index,
        zone=f"zone-{index % N_ZONES}",
        service="service-7",
        state=HostState.LIVE,
    )
    for index in range(N_ENDPOINTS)
)
# Cluster of the measured service.
CLUSTER = Cluster(
    name="service-7",
    n_slots=10,
    n_connections=100,
    n_queued=20,
    queue_timeout_s=0.1,
    retry_ratio=0.1,
    max_ejected_ratio=0.5,
    slow_start_s=10.0,
    n_crash_hosts=2,
    quarantine_s=30.0,
    secret=None,
)


def measure(name: str, decide: Callable[[int], object]) -> None:
    """Print the mean duration of a decision, in microseconds.

    Parameters
    ----------
    name : str
        Name of the decision in the output.
    decide : callable
        Makes one decision; called with the number of the repetition.
    """
    started_at = perf_counter()
    for index in range(N_REPEATS):
        decide(index)
    mean_us = (perf_counter() - started_at) / N_REPEATS * 1e6
    figures = {"measure": "decision_cost", "decision": name, "us": round(mean_us, 2)}
    print(json.dumps(figures))


def measure_route_table() -> None:
    """Measure the lookup of a route."""
    routes = [
        Route(
            name=f"route-{index}",
            path_prefix=f"/service-{index}",
            methods=frozenset(("GET", "POST")),
            cluster=f"service-{index}",
            is_idempotent=True,
            timeout_s=1.0,
            n_retries=2,
            priority=0,
            idempotency_window_s=60.0,
        )
        for index in range(N_SERVICES)
    ]
    table = RouteTable(routes=routes)
    measure("route", lambda index: table.find("GET", "/service-7/ponds/3?day=2"))


def measure_balancer() -> None:
    """Measure the choice of an endpoint in many zones and in a single zone."""
    regions = {
        f"zone-{index}": f"region-{index // N_ZONES_PER_REGION}"
        for index in range(N_ZONES)
    }
    balancer = ZoneAwareBalancer(
        zone="zone-3", zone_regions=regions, random_source=Random(1)
    )
    balancer.update(CLUSTER, ENDPOINTS, 0.0)
    no_excluded_hosts: frozenset[str] = frozenset()
    observation = CallObservation(kind=ObservationKind.SUCCESS, latency_s=0.01)

    def decide(index: int) -> None:
        now = index * 0.01
        host = balancer.choose("service-7", no_excluded_hosts, None, now)
        balancer.begin("service-7", host.host_id, now)
        balancer.finish("service-7", host.host_id, now, observation)

    measure("choose, begin and finish", decide)
    one_zone_balancer = ZoneAwareBalancer(
        zone="zone-3",
        zone_regions=dict.fromkeys(regions, "region"),
        random_source=Random(1),
    )
    same_zone = tuple(
        Host(
            host_id=host.host_id,
            address=host.address,
            mesh_port=host.mesh_port,
            zone="zone-3",
            service=host.service,
            state=host.state,
        )
        for host in ENDPOINTS
    )
    one_zone_balancer.update(CLUSTER, same_zone, 0.0)
    measure(
        "choose among 31 of one zone",
        lambda index: one_zone_balancer.choose(
            "service-7", no_excluded_hosts, None, index * 0.01
        ),
    )


def measure_admission() -> None:
    """Measure the admission of a call, and its refusal by a full queue."""
    queue = make_admission_queue(host_id="host-0", cluster=CLUSTER)

    def decide(index: int) -> None:
        now = index * 0.01
        call = PendingCall(
            call_id=str(index), caller="caller", priority=0, deadline=now + 1.0
        )
        queue.offer(call, now)
        queue.release(call.call_id, now, 0.01, True)

    measure("offer and release", decide)
    for index in range(CLUSTER.n_slots + CLUSTER.n_queued):
        call = PendingCall(
            call_id=f"waiting-{index}",
            caller=f"caller-{index}",
            priority=0,
            deadline=1e9,
        )
        queue.offer(call, 1e6)

    def refuse(index: int) -> None:
        call = PendingCall(call_id=str(index), caller="loud", priority=9, deadline=1e9)
        queue.offer(call, 1e6)

    measure("offer to a full queue", refuse)


def measure_idempotency() -> None:
    """Measure the decisions on a request with an idempotency key."""
    ledger = RequestLedger(host_id="host-0", max_entries=N_REPEATS)
    guard = HomeGuard(host_id="host-0", started_at=-1e6)
    guard.confirm(0.0)

    def decide(index: int) -> None:
        key = digest_request_key(cluster_name="service-7", value=str(index))
        choose_home(key, ENDPOINTS)
        ledger.begin(key, 60.0, 0.0)
        guard.decide(key, 60.0, 0.0)
        ledger.finish(key, Outcome.RAN, 0.0)

    measure("key, home, ledger and guard", decide)


def measure_containment() -> None:
    """Measure the containment of crashes for a request."""
    containment = CrashContainment(host_id="host-0")

    def decide(index: int) -> None:
        request_fingerprint = compute_fingerprint(
            method="POST", path=f"/{index}", body=BODY
        )
        containment.check_quarantine(request_fingerprint, 0.0)
        containment.list_candidates(request_fingerprint, ENDPOINTS, 2, 0.0)
        containment.record_success(request_fingerprint, 0.0)

    measure("fingerprint and candidates", decide)


def main() -> None:
    """Print one JSON object for each decision."""
    measure_route_table()
    measure_balancer()
    measure_admission()
    measure_idempotency()
    measure_containment()


if __name__ == "__main__":
    main()
