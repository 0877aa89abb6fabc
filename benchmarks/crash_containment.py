"""Measure how far a request that crashes upstreams reaches.

One caller sends the same deadly request again and again through random nodes,
beside ordinary calls. A crash loses all calls in flight on the upstream, which
is back after a restart. Compared with the same load without containment.
"""

import json
from collections import Counter
from heapq import heappop, heappush
from random import Random

from foxtailway.model import Host, HostState
from foxtailway.routing import CrashContainment

__all__ = ["main"]

N_NODES = 20
N_UPSTREAMS = 12
N_CRASH_HOSTS = 2
N_POPULAR = 50
QUARANTINE_S = 30.0
RESTART_S = 2.0
SERVICE_S = 0.02
CRASH_S = 0.01
CALLS_PER_S = 500.0
RESEND_S = 0.25
DURATION_S = 60.0
DEADLY = "deadly"
SEED = 29

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
    """Run the nodes and upstreams, with or without containment."""

    def __init__(self, *, is_contained: bool) -> None:
        self.is_contained = is_contained
        self.random_source = Random(SEED)
        self.ingress = [
            CrashContainment(host_id=f"node-{index}") for index in range(N_NODES)
        ]
        self.beside = {
            host.host_id: CrashContainment(host_id=host.host_id) for host in HOSTS
        }
        self.up_at = {host.host_id: 0.0 for host in HOSTS}
        self.in_flight: dict[str, dict[int, tuple[str, int]]] = {
            host.host_id: {} for host in HOSTS
        }
        self.events: list[tuple[float, int, str, str]] = []
        self.n_events = 0
        self.counts: Counter[str] = Counter()
        self.crashed_hosts: set[str] = set()

    def plan(self, at: float, kind: str, host_id: str = "") -> int:
        """Plan an event and return its number."""
        self.n_events += 1
        heappush(self.events, (at, self.n_events, kind, host_id))
        return self.n_events

    def run(self) -> None:
        """Simulate the whole duration."""
        self.plan(0.0, "ordinary")
        self.plan(5.0, "deadly")
        while self.events:
            now, number, kind, host_id = heappop(self.events)
            if kind == "ordinary":
                self.repeat(now, kind, self.random_source.expovariate(CALLS_PER_S))
                self.counts["ordinary"] += 1
                self.send(self.draw_fingerprint(), now)
            elif kind == "deadly":
                self.repeat(now, kind, RESEND_S)
                self.counts["deadly"] += 1
                self.send(DEADLY, now)
            elif kind == "finish":
                self.finish(host_id, number, now)
            elif number in self.in_flight[host_id]:
                self.crash(host_id, now)

    def repeat(self, now: float, kind: str, interval_s: float) -> None:
        """Plan the next call of a kind."""
        if now + interval_s < DURATION_S:
            self.plan(now + interval_s, kind)

    def draw_fingerprint(self) -> str:
        """Return a popular request or one that is sent once."""
        if self.random_source.random() < 0.5:
            return f"popular-{self.random_source.randrange(N_POPULAR)}"
        return f"single-{self.counts['ordinary']}"

    def send(self, fingerprint: str, now: float) -> None:
        """Send a request through a random node, with one retry."""
        node = self.random_source.randrange(N_NODES)
        name = "deadly" if fingerprint == DEADLY else "ordinary"
        candidates = None
        if self.is_contained:
            if self.ingress[node].check_quarantine(fingerprint, now) is not None:
                self.counts[f"{name} quarantined"] += 1
                return
            candidates = self.ingress[node].list_candidates(
                fingerprint, HOSTS, N_CRASH_HOSTS, now
            )
        hosts = [
            host_id
            for host_id, up_at in self.up_at.items()
            if up_at <= now and (candidates is None or host_id in candidates)
        ]
        self.random_source.shuffle(hosts)
        for host_id in hosts[:2]:
            refusal = self.beside[host_id].check_quarantine(fingerprint, now)
            if refusal is None:
                self.start(fingerprint, node, host_id, now)
                return
        self.counts[f"{name} quarantined" if hosts else f"{name} no endpoint"] += 1

    def start(self, fingerprint: str, node: int, host_id: str, now: float) -> None:
        """Run a request on an upstream."""
        is_deadly = fingerprint == DEADLY
        delay_s = CRASH_S if is_deadly else SERVICE_S
        number = self.plan(now + delay_s, "crash" if is_deadly else "finish", host_id)
        self.in_flight[host_id][number] = (fingerprint, node)

    def finish(self, host_id: str, number: int, now: float) -> None:
        """End a request with an answer, unless its upstream crashed."""
        if number not in self.in_flight[host_id]:
            return
        fingerprint, node = self.in_flight[host_id].pop(number)
        self.ingress[node].record_success(fingerprint, now)
        self.beside[host_id].record_success(fingerprint, now)

    def crash(self, host_id: str, now: float) -> None:
        """Lose all requests of an upstream and restart it."""
        self.counts["crashes"] += 1
        self.crashed_hosts.add(host_id)
        self.up_at[host_id] = now + RESTART_S
        for fingerprint, node in self.in_flight[host_id].values():
            self.counts["ordinary lost"] += fingerprint != DEADLY
            if not self.is_contained:
                continue
            for containment, limit in (
                (self.ingress[node], N_CRASH_HOSTS),
                (self.beside[host_id], 1),
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
    """Return the figures of one run."""
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
    """Print one JSON object with and one without containment."""
    for is_contained in (False, True):
        print(json.dumps(measure(is_contained)))


if __name__ == "__main__":
    main()
