import unittest
from collections import defaultdict
from itertools import pairwise
from random import Random

from foxtailway.model import Host, Version
from foxtailway.routing import (
    HomeGuard,
    HomeVerdict,
    LedgerVerdict,
    Outcome,
    RequestLedger,
    choose_home,
)
from foxtailway.routing.tests.builders import make_host

HOSTS = tuple(make_host(f"host-{index}") for index in range(4))
KEYS = ("k1", "k2", "k3")
WINDOW_S = 20.0
MAX_AGE_S = 5.0
UPTIME_S = 1000.0
N_SCENARIOS = 200
N_STEPS = 150
ACTIONS = (
    "request",
    "request",
    "tick",
    "tick",
    "toggle",
    "disconnect",
    "restart",
    "advance",
)


class Mesh:
    """Nodes whose views of the host list lag, and callers with any past view."""

    def __init__(self) -> None:
        self.now = 0.0
        self.lists = [HOSTS]
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.guards: dict[str, HomeGuard] = {}
        self.ledgers: dict[str, RequestLedger] = {}
        self.disconnected: set[int] = set()
        for index in range(len(HOSTS)):
            self.restart(index)
        self.now = UPTIME_S
        self.tick(0.0)

    def restart(self, index: int) -> None:
        host_id = HOSTS[index].host_id
        self.guards[host_id] = HomeGuard(
            host_id=host_id, started_at=self.now, max_view_age_s=MAX_AGE_S
        )
        self.ledgers[host_id] = RequestLedger(host_id=host_id, max_entries=99)
        self.sync(index)

    def sync(self, index: int) -> None:
        version = Version(generation=1, revision=len(self.lists), digest=b"")
        guard = self.guards[HOSTS[index].host_id]
        hosts_by_id = {host.host_id: host for host in self.lists[-1]}
        guard.update(self.lists[-1], hosts_by_id, version, self.now)
        guard.confirm(self.now)

    def toggle_host(self, index: int) -> None:
        endpoints = set(self.lists[-1]) ^ {HOSTS[index]}
        self.lists.append(tuple(host for host in HOSTS if host in endpoints))

    def tick(self, duration_s: float) -> None:
        """Advance the time and confirm the views of all connected nodes."""
        self.now += duration_s
        for index in range(len(HOSTS)):
            if index not in self.disconnected:
                self.sync(index)

    def advance_in_steps(self, duration_s: float) -> None:
        for _ in range(int(duration_s)):
            self.tick(1.0)

    def request(self, key: str, n_lists_behind: int) -> HomeVerdict | None:
        """Send a request to the home in the view of a caller's node."""
        endpoints = self.lists[max(0, len(self.lists) - 1 - n_lists_behind)]
        home = choose_home(key, endpoints)
        if home is None:
            return None
        ledger = self.ledgers[home.host_id]
        if ledger.begin(key, WINDOW_S, self.now).verdict is not LedgerVerdict.RUN:
            return None
        decision = self.guards[home.host_id].decide(key, WINDOW_S, self.now)
        if self.is_permitted(decision.verdict, key, decision.previous_homes):
            self.runs[key].append(self.now)
            ledger.finish(key, Outcome.RAN, self.now)
        else:
            ledger.finish(key, Outcome.NOT_RUN, self.now)
        return decision.verdict

    def is_permitted(
        self, verdict: HomeVerdict, key: str, previous_homes: tuple[Host, ...]
    ) -> bool:
        if verdict is HomeVerdict.ASK_PREVIOUS:
            return all(
                self.guards[host.host_id].relinquish(
                    self.ledgers[host.host_id], key, WINDOW_S, self.now
                )
                for host in previous_homes
            )
        return verdict is HomeVerdict.RUN


class HomeGuardTest(unittest.TestCase):
    def run_scenario(self, random_source: Random) -> Mesh:
        mesh = Mesh()
        for _ in range(N_STEPS):
            action = random_source.choice(ACTIONS)
            index = random_source.randrange(len(HOSTS))
            if action == "request":
                mesh.request(random_source.choice(KEYS), index)
            elif action == "toggle":
                mesh.toggle_host(index)
            elif action == "disconnect":
                mesh.disconnected ^= {index}
            elif action == "restart" and random_source.random() < 0.2:
                mesh.restart(index)
            elif action == "tick":
                mesh.tick(random_source.choice((0.5, 2.0, 4.0)))
            elif action == "advance":
                mesh.advance_in_steps(
                    random_source.choice((MAX_AGE_S, 2.5 * MAX_AGE_S, WINDOW_S))
                )
        return mesh

    def test_a_key_runs_once_within_its_window(self) -> None:
        n_runs = 0
        for seed in range(N_SCENARIOS):
            for times in self.run_scenario(Random(seed)).runs.values():
                n_runs += len(times)
                for earlier, later in pairwise(times):
                    self.assertGreaterEqual(later - earlier, WINDOW_S, f"seed {seed}")
        self.assertGreater(n_runs, N_SCENARIOS)

    def make_key_with_changed_home(self) -> tuple[Mesh, int, int]:
        """Return a mesh in which the home of k1 has just changed."""
        mesh = Mesh()
        old = HOSTS.index(choose_home("k1", HOSTS))
        mesh.toggle_host(old)
        new = HOSTS.index(choose_home("k1", mesh.lists[-1]))
        mesh.sync(new)
        return mesh, old, new

    def test_stable_home_runs_at_once(self) -> None:
        self.assertIs(Mesh().request("k1", 0), HomeVerdict.RUN)

    def confirm_one_node(self, mesh: Mesh, index: int, n_ages: int) -> None:
        """Advance the time and confirm the view of one node only."""
        for _ in range(n_ages):
            mesh.now += MAX_AGE_S
            mesh.sync(index)
        guard = mesh.guards[HOSTS[index].host_id]
        guard.hosts_by_id = {host.host_id: host for host in HOSTS}

    def test_new_home_refuses_then_asks_the_previous_one(self) -> None:
        mesh, old, new = self.make_key_with_changed_home()
        self.confirm_one_node(mesh, new, 1)
        self.assertIs(mesh.request("k1", 0), HomeVerdict.REFUSE)
        self.confirm_one_node(mesh, new, 1)
        self.assertIs(mesh.request("k1", 0), HomeVerdict.ASK_PREVIOUS)
        self.assertEqual(len(mesh.runs["k1"]), 1)
        mesh.guards[HOSTS[old].host_id].confirm(mesh.now)
        self.assertIsNone(mesh.request("k1", 1))
        self.assertEqual(len(mesh.runs["k1"]), 1)

    def test_unlisted_previous_home_means_refusal(self) -> None:
        mesh, _, new = self.make_key_with_changed_home()
        self.confirm_one_node(mesh, new, 3)
        mesh.sync(new)
        self.assertIs(mesh.request("k1", 0), HomeVerdict.REFUSE)

    def test_restarted_previous_home_does_not_relinquish(self) -> None:
        mesh, old, new = self.make_key_with_changed_home()
        mesh.restart(old)
        self.confirm_one_node(mesh, new, 3)
        self.assertIs(mesh.request("k1", 0), HomeVerdict.ASK_PREVIOUS)
        self.assertEqual(mesh.runs["k1"], [])

    def test_new_home_runs_after_the_window(self) -> None:
        mesh, _, new = self.make_key_with_changed_home()
        for _ in range(6):
            mesh.now += MAX_AGE_S
            mesh.sync(new)
        self.assertIs(mesh.request("k1", 0), HomeVerdict.RUN)

    def test_missed_host_list_changes_refuse_keys(self) -> None:
        home = choose_home("k1", HOSTS)
        for n_missed, verdict in ((0, HomeVerdict.RUN), (2, HomeVerdict.REFUSE)):
            mesh = Mesh()
            mesh.now += MAX_AGE_S + 1.0
            for _ in range(n_missed):
                mesh.toggle_host(HOSTS.index(home))
            mesh.sync(HOSTS.index(home))
            self.assertIs(mesh.request("k1", 0), verdict)

    def test_other_host_refuses(self) -> None:
        mesh = Mesh()
        home = choose_home("k1", HOSTS)
        other = next(host for host in HOSTS if host != home)
        decision = mesh.guards[other.host_id].decide("k1", WINDOW_S, mesh.now)
        self.assertIs(decision.verdict, HomeVerdict.REFUSE)

    def test_restarted_home_and_stale_view_refuse_as_unknown(self) -> None:
        mesh = Mesh()
        home = choose_home("k1", HOSTS)
        mesh.now += MAX_AGE_S + 1.0
        decision = mesh.guards[home.host_id].decide("k1", WINDOW_S, mesh.now)
        self.assertIs(decision.refusal.outcome, Outcome.UNKNOWN)
        mesh.restart(HOSTS.index(home))
        self.assertIs(mesh.request("k1", 0), HomeVerdict.REFUSE)
