"""Schedule of queries to the platform within the call budget of the fleet."""

from dataclasses import dataclass
from math import log
from random import Random

from foxtailway.distribution.action import Collect
from foxtailway.distribution.backoff import full_jitter_s
from foxtailway.distribution.placement import Placement, Role
from foxtailway.model.bundle import BundleKind
from foxtailway.settings.model import NodeSettings

__all__ = ["PlatformPoller"]

# Size of the fleet that a host assumes until it knows the host list.
ASSUMED_N_HOSTS = 32_768
# Euler-Mascheroni constant; the n-th harmonic number is about log(n) plus this.
EULER_MASCHERONI = 0.5772
# Part of the platform's call budget that fallback collections may use.
BUDGET_SHARE = 0.5
# Largest jitter of an interval, as a ratio of the interval.
MAX_JITTER_RATIO = 0.25
# Watches that end within the stale limit, so that an idle platform confirms in time.
WATCHES_PER_STALE = 3


@dataclass(slots=True, kw_only=True)
class PollState:
    """State of the collections of one kind."""

    is_running: bool = False
    has_answered: bool = False
    n_failures: int = 0
    next_at_s: float = 0.0


class PlatformPoller:
    """Decide when to collect from the platform.

    Readers watch continuously, and so do the first seeds until they know a host
    list. Every other host falls back to the platform only when it lacks a fresh
    parent: the host of rank r waits r times the cost of a collection divided by
    half the budget, and repeats after an interval proportional to r + 1 times the
    harmonic number of the fleet's size. The calls of any number of hosts thus stay
    within the budget without coordination.

    Parameters
    ----------
    settings : NodeSettings
        Call budget of the platform, intervals and timeouts.
    random_source : Random
        Source of jitter.
    """

    def __init__(self, *, settings: NodeSettings, random_source: Random) -> None:
        self.settings = settings
        self.distribution_settings = settings.distribution
        self.random_source = random_source
        self.states = {kind: PollState() for kind in BundleKind}
        self.epoch = 0
        self.n_calls = 0
        self.has_placement = False
        self.n_hosts = ASSUMED_N_HOSTS
        self.rank = self.find_seed_rank()
        self.is_reader = self.rank < self.distribution_settings.n_readers
        self.n_documents = 0
        self.fallback_at_s: float | None = None
        self.repeat_at_s = 0.0
        self.has_deferred_fallback = False

    def find_seed_rank(self) -> int:
        """Return the rank that a host uses until it knows the topology.

        A seed has its position among the seeds, another host a random rank below
        them. Without seeds every host has rank 0.
        """
        own_address = (self.settings.host.address, self.settings.listen.mesh_port)
        seeds = [(seed.address, seed.port) for seed in self.distribution_settings.seeds]
        if own_address in seeds:
            return seeds.index(own_address)
        if not seeds:
            return 0
        return self.random_source.randrange(len(seeds), ASSUMED_N_HOSTS)

    def update_placement(self, placement: Placement) -> None:
        """Apply the role and the rank of a new placement.

        A scheduled fallback keeps its time, since the host list changes often. The
        first placement cancels it, because the rank until then was provisional.
        """
        if not self.has_placement:
            self.cancel_fallback()
        self.has_placement = True
        self.is_reader = placement.role is Role.READER
        self.rank = placement.fallback_rank
        self.n_hosts = placement.n_hosts

    @property
    def watch_s(self) -> float:
        """Return how long the platform may hold a watch open, in seconds.

        Short enough for an idle platform to confirm before the node is stale.
        """
        max_wait_s = self.distribution_settings.stale_s / WATCHES_PER_STALE
        return min(self.settings.platform.watch_s, max_wait_s)

    @property
    def collection_cost_s(self) -> float:
        """Return the time for which one collection uses up the budget, in seconds."""
        n_calls = self.n_documents + len(BundleKind)
        return n_calls / (BUDGET_SHARE * self.settings.platform.calls_per_s)

    def schedule_fallback(self, *, now: float, grace_s: float) -> None:
        """Schedule a fallback collection unless one is scheduled."""
        if self.fallback_at_s is not None:
            return
        wait_s = self.rank * self.collection_cost_s * self.draw_jitter_factor()
        self.fallback_at_s = max(now + grace_s + wait_s, self.repeat_at_s)

    def cancel_fallback(self) -> None:
        """Cancel the scheduled fallback, because a fresh source was found."""
        self.fallback_at_s = None

    def defer_due_fallback(self, *, now: float, wait_s: float) -> bool:
        """Defer a due fallback once; return whether it was deferred.

        The node can dial a parent meanwhile, which costs less: the platform sends
        whole documents, a parent only the changes.
        """
        is_due = self.fallback_at_s is not None and self.fallback_at_s <= now
        if (
            self.is_reader
            or not self.has_placement
            or not is_due
            or self.has_deferred_fallback
        ):
            return False
        self.has_deferred_fallback = True
        self.fallback_at_s = now + wait_s
        return True

    def draw_jitter_factor(self) -> float:
        """Return a random factor of at least 1 by which an interval is extended."""
        return 1.0 + self.random_source.uniform(0.0, MAX_JITTER_RATIO)

    def draw_repeat_s(self) -> float:
        """Return a random interval between two fallback collections, in seconds."""
        harmonic = log(max(1, self.n_hosts)) + EULER_MASCHERONI
        share_s = (self.rank + 1) * self.collection_cost_s * harmonic
        return (
            max(self.distribution_settings.stale_s / 2, share_s)
            * self.draw_jitter_factor()
        )

    def tick(self, *, now: float) -> list[Collect]:
        """Return the collections that are due, and mark them as running."""
        if self.is_reader:
            return [
                self.start(kind, wait_s=self.watch_s if state.has_answered else 0.0)
                for kind, state in self.states.items()
                if not state.is_running and state.next_at_s <= now
            ]
        if self.fallback_at_s is None or self.fallback_at_s > now:
            return []
        self.has_deferred_fallback = False
        self.repeat_at_s = now + self.draw_repeat_s()
        self.fallback_at_s = self.repeat_at_s
        return [
            self.start(kind, wait_s=0.0)
            for kind, state in self.states.items()
            if not state.is_running
        ]

    def start(self, kind: BundleKind, *, wait_s: float) -> Collect:
        """Mark the collection of a kind as running and return its action."""
        self.states[kind].is_running = True
        self.n_calls += 1
        return Collect(kind=kind, epoch=self.epoch, wait_s=wait_s)

    def finish(self, kind: BundleKind, *, is_ok: bool, now: float) -> None:
        """Record the end of a collection and schedule the next one."""
        state = self.states[kind]
        state.is_running = False
        if not is_ok:
            retry_s = full_jitter_s(
                n_failures=state.n_failures,
                base_s=self.distribution_settings.retry_base_s,
                max_s=self.distribution_settings.retry_max_s,
                random_source=self.random_source,
            )
            state.n_failures += 1
            state.next_at_s = now + retry_s
            return
        state.n_failures = 0
        state.has_answered = True
        state.next_at_s = now

    def postpone(self, kind: BundleKind, *, until_s: float) -> None:
        """Start the next watch of a kind no earlier than `until_s`."""
        state = self.states[kind]
        state.next_at_s = max(state.next_at_s, until_s)

    def next_deadline_s(self) -> float | None:
        """Return the monotonic time of the next collection, or None."""
        if not self.is_reader:
            return self.fallback_at_s
        waiting = [
            state.next_at_s for state in self.states.values() if not state.is_running
        ]
        return min(waiting, default=None)
