"""When the platform is asked, so that the fleet stays within its budget."""

from dataclasses import dataclass
from math import log
from random import Random

from foxtailway.distribution.action import Collect
from foxtailway.distribution.backoff import full_jitter_s
from foxtailway.distribution.placement import Placement, Role
from foxtailway.model.bundle import BundleKind
from foxtailway.settings.model import NodeSettings

__all__ = ["PlatformPoller"]

ASSUMED_N_HOSTS = 32_768
EULER_MASCHERONI = 0.5772
BUDGET_SHARE = 0.5
MAX_JITTER_RATIO = 0.25
WATCHES_PER_STALE = 3


@dataclass(slots=True, kw_only=True)
class PollState:
    """Progress of the calls for one kind."""

    is_running: bool = False
    has_answered: bool = False
    n_failures: int = 0
    next_at_s: float = 0.0


class PlatformPoller:
    """Decide when to collect from the platform.

    Readers watch all the time, and so do the first seeds as long as they know
    no host list. Every other host turns to the platform only
    when it lacks a fresh parent: the host of rank r waits r times the cost of
    a collection divided by half the budget, and repeats after an interval
    proportional to r + 1 times the harmonic number of the fleet's size. The
    sum over any herd stays within the budget without coordination.

    Parameters
    ----------
    settings : NodeSettings
        Budget and timeouts.
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
        """Return the rank of a host that knows no topology yet."""
        own_address = (self.settings.host.address, self.settings.listen.mesh_port)
        seeds = [(seed.address, seed.port) for seed in self.distribution_settings.seeds]
        if own_address in seeds:
            return seeds.index(own_address)
        if not seeds:
            return 0
        return self.random_source.randrange(len(seeds), ASSUMED_N_HOSTS)

    def update_placement(self, placement: Placement) -> None:
        """Take over the role and the rank of a new topology.

        A wait under way goes on, since the host list changes all the time, but
        the first known rank replaces a provisional one.
        """
        if not self.has_placement:
            self.cancel_fallback()
        self.has_placement = True
        self.is_reader = placement.role is Role.READER
        self.rank = placement.fallback_rank
        self.n_hosts = placement.n_hosts

    @property
    def watch_s(self) -> float:
        """Return the wait of a watch, in seconds.

        It is short enough for an idle platform to confirm in time.
        """
        max_wait_s = self.distribution_settings.stale_s / WATCHES_PER_STALE
        return min(self.settings.platform.watch_s, max_wait_s)

    @property
    def collection_cost_s(self) -> float:
        """Return the share of the budget that one collection uses, in seconds."""
        n_calls = self.n_documents + len(BundleKind)
        return n_calls / (BUDGET_SHARE * self.settings.platform.calls_per_s)

    def schedule_fallback(self, *, now: float, grace_s: float) -> None:
        """Start the wait of a host that lost its fresh parent."""
        if self.fallback_at_s is not None:
            return
        wait_s = self.rank * self.collection_cost_s * self.draw_jitter_factor()
        self.fallback_at_s = max(now + grace_s + wait_s, self.repeat_at_s)

    def cancel_fallback(self) -> None:
        """Forget the wait, since a fresh parent was found."""
        self.fallback_at_s = None

    def defer_due_fallback(self, *, now: float, wait_s: float) -> bool:
        """Put a due fallback off once, so that a parent is tried before it.

        The platform sends whole documents, a parent only what changed.
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
        """Return a random factor that lengthens an interval."""
        return 1.0 + self.random_source.uniform(0.0, MAX_JITTER_RATIO)

    def draw_repeat_s(self) -> float:
        """Return the interval between two collections of a fallback, in seconds."""
        harmonic = log(max(1, self.n_hosts)) + EULER_MASCHERONI
        share_s = (self.rank + 1) * self.collection_cost_s * harmonic
        return (
            max(self.distribution_settings.stale_s / 2, share_s)
            * self.draw_jitter_factor()
        )

    def tick(self, *, now: float) -> list[Collect]:
        """Return the collections that are due."""
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
        """Note that a collection is under way."""
        self.states[kind].is_running = True
        self.n_calls += 1
        return Collect(kind=kind, epoch=self.epoch, wait_s=wait_s)

    def finish(self, kind: BundleKind, *, is_ok: bool, now: float) -> None:
        """Note the end of a collection and when the next one may start."""
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
        """Return the time of the next collection, or None."""
        if not self.is_reader:
            return self.fallback_at_s
        waiting = [
            state.next_at_s for state in self.states.values() if not state.is_running
        ]
        return min(waiting, default=None)
