"""Number of upstreams that a crash-inducing request reaches, in simulated time.

One caller repeatedly sends the same request, which crashes the upstream that runs
it, through random nodes; other callers send ordinary requests. A crash loses all
requests in flight on the upstream, which restarts after a delay. The same load is
simulated with containment and without it.
"""

import json
from collections import Counter
from heapq import heappop, heappush
from random import Random

from foxtailway.model import Host, HostState
from foxtailway.routing import CrashContainment

__all__ = ["main"]

# Nodes that receive requests from clients.
N_NODES = 20
# Upstreams of the service.
N_UPSTREAMS = 12
# Hosts that a request may crash before it is quarantined.
N_CRASH_HOSTS = 2
# Different requests that are sent repeatedly.
N_POPULAR = 50
# Duration of a quarantine.
QUARANTINE_S = 30.0
# Time that a crashed upstream needs for a restart.
RESTART_S = 2.0
# Run time of an ordinary request.
SERVICE_S = 0.02
# Time from the start of a crash-inducing request until the crash.
CRASH_S = 0.01
# Rate of the ordinary requests.
CALLS_PER_S = 500.0
# Interval of the crash-inducing requests.
RESEND_S = 0.25
# Simulated time during which requests are sent.
DURATION_S = 60.0
# Fingerprint of the crash-inducing request.
CRASHING_FINGERPRINT = "deadly"
# Seed of the simulation.
SEED = 29

# Hosts of the upstreams.
HOSTS = tuple(
    Host(
        host_id=f"host-{index}",
        address="127.0.0.1",
        mesh_port=7000 + index,
        zone="zone",
        service="service",
        state=HostState.LIVE,
    )
    for index in range(N_UPSTREAMS)
)


class Simulation:
    """Simulation of the nodes and upstreams.

    Parameters
    ----------
    is_contained : bool
        Whether the nodes contain crashes.
    """

    def __init__(self, *, is_contained: bool) -> None:
        self.is_contained = is_contained
        self.random_source = Random(SEED)
        self.ingress_containments = [
            CrashContainment(host_id=f"node-{index}") for index in range(N_NODES)
        ]
        self.local_containments = {
            host.host_id: CrashContainment(host_id=host.host_id) for host in HOSTS
        }
        self.ready_at = {host.host_id: 0.0 for host in HOSTS}
        self.in_flight: dict[str, dict[int, tuple[str, int]]] = {
            host.host_id: {} for host in HOSTS
        }
        self.events: list[tuple[float, int, str, str]] = []
        self.n_events = 0
        self.counts: Counter[str] = Counter()
        self.crashed_hosts: set[str] = set()

    def schedule(self, at: float, kind: str, host_id: str = "") -> int:
        """Schedule an event and return its identifier.

        Parameters
        ----------
        at : float
            Simulated time in seconds.
        kind : str
            ``ordinary``, ``deadly``, ``finish`` or ``crash``. ``deadly`` sends the
            crash-inducing request.
        host_id : str, default=""
            Host of the upstream; empty for the arrival of a request.
        """
        self.n_events += 1
        heappush(self.events, (at, self.n_events, kind, host_id))
        return self.n_events

    def run(self) -> None:
        """Simulate until no events are left."""
        self.schedule(0.0, "ordinary")
        self.schedule(5.0, "deadly")
        while self.events:
            now, event_id, kind, host_id = heappop(self.events)
            if kind == "ordinary":
                self.schedule_next(
                    now, kind, self.random_source.expovariate(CALLS_PER_S)
                )
                self.counts["ordinary"] += 1
                self.send(self.choose_fingerprint(), now)
            elif kind == "deadly":
                self.schedule_next(now, kind, RESEND_S)
                self.counts["deadly"] += 1
                self.send(CRASHING_FINGERPRINT, now)
            elif kind == "finish":
                self.finish(host_id, event_id, now)
            elif event_id in self.in_flight[host_id]:
                self.crash(host_id, now)

    def schedule_next(self, now: float, kind: str, interval_s: float) -> None:
        """Schedule the next request of a kind."""
        if now + interval_s < DURATION_S:
            self.schedule(now + interval_s, kind)

    def choose_fingerprint(self) -> str:
        """Return a popular fingerprint or, with equal probability, a unique one."""
        if self.random_source.random() < 0.5:
            return f"popular-{self.random_source.randrange(N_POPULAR)}"
        return f"single-{self.counts['ordinary']}"

    def send(self, fingerprint: str, now: float) -> None:
        """Send a request through a random node, with one retry."""
        node = self.random_source.randrange(N_NODES)
        name = "deadly" if fingerprint == CRASHING_FINGERPRINT else "ordinary"
        candidates = None
        if self.is_contained:
            if (
                self.ingress_containments[node].check_quarantine(fingerprint, now)
                is not None
            ):
                self.counts[f"{name} quarantined"] += 1
                return
            candidates = self.ingress_containments[node].list_candidates(
                fingerprint, HOSTS, N_CRASH_HOSTS, now
            )
        hosts = [
            host_id
            for host_id, ready_at in self.ready_at.items()
            if ready_at <= now and (candidates is None or host_id in candidates)
        ]
        self.random_source.shuffle(hosts)
        for host_id in hosts[:2]:
            refusal = self.local_containments[host_id].check_quarantine(
                fingerprint, now
            )
            if refusal is None:
                self.start(fingerprint, node, host_id, now)
                return
        self.counts[f"{name} quarantined" if hosts else f"{name} no endpoint"] += 1

    def start(self, fingerprint: str, node: int, host_id: str, now: float) -> None:
        """Start a request on an upstream."""
        is_crashing = fingerprint == CRASHING_FINGERPRINT
        delay_s = CRASH_S if is_crashing else SERVICE_S
        event_id = self.schedule(
            now + delay_s, "crash" if is_crashing else "finish", host_id
        )
        self.in_flight[host_id][event_id] = (fingerprint, node)

    def finish(self, host_id: str, event_id: int, now: float) -> None:
        """Finish a request successfully unless its upstream crashed."""
        if event_id not in self.in_flight[host_id]:
            return
        fingerprint, node = self.in_flight[host_id].pop(event_id)
        self.ingress_containments[node].record_success(fingerprint, now)
        self.local_containments[host_id].record_success(fingerprint, now)

    def crash(self, host_id: str, now: float) -> None:
        """Lose all requests of an upstream and restart it."""
        self.counts["crashes"] += 1
        self.crashed_hosts.add(host_id)
        self.ready_at[host_id] = now + RESTART_S
        for fingerprint, node in self.in_flight[host_id].values():
            self.counts["ordinary lost"] += fingerprint != CRASHING_FINGERPRINT
            if not self.is_contained:
                continue
            for containment, limit in (
                (self.ingress_containments[node], N_CRASH_HOSTS),
                (self.local_containments[host_id], 1),
            ):
                containment.record_loss(
                    fingerprint,
                    host_id,
                    n_crash_hosts=limit,
                    quarantine_s=QUARANTINE_S,
                    now=now,
                )
        self.in_flight[host_id].clear()


def measure(is_contained: bool) -> dict[str, object]:
    """Return the figures of one simulation."""
    simulation = Simulation(is_contained=is_contained)
    simulation.run()
    counts = simulation.counts
    return {
        "measure": "crash_containment",
        "is_contained": is_contained,
        "deadly_sent": counts["deadly"],
        "hosts_crashed": len(simulation.crashed_hosts),
        "crashes": counts["crashes"],
        "ordinary_calls": counts["ordinary"],
        "ordinary_lost": counts["ordinary lost"],
        "ordinary_quarantined": counts["ordinary quarantined"],
        "ordinary_no_endpoint": counts["ordinary no endpoint"],
    }


def main() -> None:
    """Print one JSON object without containment and one with it."""
    for is_contained in (False, True):
        print(json.dumps(measure(is_contained)))


if __name__ == "__main__":
    main()
