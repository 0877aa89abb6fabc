"""Random days of a registry: outages, broken connections and planned leaves."""

from dataclasses import dataclass, field
from random import Random
from unittest import TestCase

from foxtailway.traffic.membership import Membership, Upstream
from foxtailway.traffic.registry_access import RegistryAccess
from foxtailway.traffic.tests.builders import make_upstream

HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
DRAIN_S = 2.0
# Time without disruption after which a removal binds those who can read it.
STABILITY_S = 3.0
# Interval of the model's clock, in which a reader notices a change.
STEP_S = 0.05
# Age of the last confirmation at which the next node reads the registry.
FAIL_OVER_S = 0.9
# Time within which upstreams register again after an outage.
REGISTRATION_TIME_S = 2.0
DAY_S = 120.0
SERVICE = "records"


@dataclass(slots=True, kw_only=True)
class ModelUpstream:
    """Upstream that renews its entry, and leaves as planned if it has a time for it."""

    entry: Upstream
    renews_at: float
    renewed_at: float = 0.0
    is_registered: bool = True
    leaves_at: float = float("inf")
    has_left: bool = False


@dataclass(slots=True, kw_only=True)
class ModelReader:
    """Node that reads the registry unless it or its path fails."""

    access: RegistryAccess = field(
        default_factory=lambda: RegistryAccess(heartbeat_s=HEARTBEAT_S)
    )
    confirmed_at: float = 0.0
    next_call_at: float = 0.0
    backoff_s: float = 0.15


class ModelDay:
    """Registry with upstreams, readers and the membership that they distribute."""

    def __init__(self, *, seed: int, n_upstreams: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.membership = Membership()
        self.confirmed_at = 0.0
        self.readers = [ModelReader(), ModelReader()]
        self.upstreams = {
            f"u-{number}": ModelUpstream(
                entry=make_upstream(f"u-{number}", port=8000 + number),
                renews_at=self.random.uniform(0.0, HEARTBEAT_S),
            )
            for number in range(n_upstreams)
        }
        for model in self.upstreams.values():
            self.membership.put(model.entry)
        self.outages = self.draw_intervals(n=3, longest_s=9.0)
        self.cuts = self.draw_intervals(n=4, longest_s=6.0)
        self.resets = [self.random.uniform(5.0, DAY_S) for _ in range(25)]
        leaving = self.random.sample(sorted(self.upstreams), n_upstreams // 3)
        for upstream_id in leaving:
            self.upstreams[upstream_id].leaves_at = self.random.uniform(5.0, DAY_S)

    def draw_intervals(self, *, n: int, longest_s: float) -> list[tuple[float, float]]:
        """Return disjoint intervals with time for recovery in between."""
        starts = [8.0 + index * DAY_S / n for index in range(n)]
        return [
            (
                start := first + self.random.uniform(0.0, 10.0),
                start + self.random.uniform(0.1, longest_s),
            )
            for first in starts
        ]

    def is_down(self, at: float) -> bool:
        return any(start <= at < end for start, end in self.outages)

    def is_stable(self, at: float) -> bool:
        return not any(start <= at < end + STABILITY_S for start, end in self.outages)

    def step(self) -> None:
        """Advance the clock by one step."""
        self.now += STEP_S
        for model in self.upstreams.values():
            self.step_upstream(model)
        first, second = self.readers
        self.step_reader(first, is_cut=self.is_cut())
        if self.now - first.confirmed_at >= FAIL_OVER_S:
            self.step_reader(second, is_cut=False)
        else:
            second.access.record_following()
        self.membership.remove_expired(self.confirmed_at)

    def is_cut(self) -> bool:
        return any(start <= self.now < end for start, end in self.cuts)

    def step_upstream(self, model: ModelUpstream) -> None:
        """Renew, expire or remove the entry of an upstream."""
        if model.has_left:
            return
        if self.now >= model.leaves_at and not self.is_down(self.now):
            model.has_left = True
            model.is_registered = False
            model.leaves_at = self.now
            return
        if self.now >= model.renews_at:
            if self.is_down(self.now):
                ends_at = next(end for start, end in self.outages if self.now < end)
                model.renews_at = ends_at + self.random.uniform(
                    0.0, REGISTRATION_TIME_S
                )
            else:
                model.renewed_at = self.now
                model.is_registered = True
                model.renews_at = self.now + HEARTBEAT_S * self.random.uniform(0.8, 1.2)
        if self.now - model.renewed_at >= EXPIRY_S:
            model.is_registered = False

    def step_reader(self, reader: ModelReader, *, is_cut: bool) -> None:
        """Let a reader call the registry if it is time."""
        if self.resets and self.resets[0] <= self.now:
            # A broken connection is replaced at once; nothing else happens.
            self.resets.pop(0)
            reader.access.record_failure()
        if self.now < reader.next_call_at:
            return
        if is_cut or self.is_down(self.now):
            reader.access.record_failure()
            jitter = 0.5 + self.random.random()
            reader.next_call_at = self.now + reader.backoff_s * jitter
            reader.backoff_s = min(0.8, 2 * reader.backoff_s)
            return
        reader.access.record_success(self.confirmed_at, self.now)
        reader.backoff_s = 0.15
        for other in self.readers:
            if other is not reader:
                other.access.record_confirmation(self.confirmed_at, self.now)
        reader.confirmed_at = self.confirmed_at = self.now
        self.apply(reader)

    def apply(self, reader: ModelReader) -> None:
        """Apply what a reader sees, judged by its access."""
        self.membership.regained_at = reader.access.find_recovery(self.now)
        listed = tuple(
            model.entry for model in self.upstreams.values() if model.is_registered
        )
        known = self.membership.upstreams.keys()
        is_changed = known != {upstream.upstream_id for upstream in listed}
        if is_changed or self.membership.expired:
            self.membership.replace_all(listed, self.now)

    def find_dropped(self) -> set[str]:
        """Return the upstreams that live and get no requests."""
        ready = {item.upstream_id for item in self.membership.list_ready(SERVICE)}
        return {
            key for key, model in self.upstreams.items() if not model.has_left
        } - ready

    def find_kept(self) -> set[str]:
        """Return the upstreams that get requests later than their drain."""
        ready = {item.upstream_id for item in self.membership.list_ready(SERVICE)}
        return {
            key
            for key, model in self.upstreams.items()
            if key in ready
            and model.has_left
            and self.now - model.leaves_at > DRAIN_S
            and self.is_stable(model.leaves_at)
        }


class RegistryRecoveryTest(TestCase):
    """Keeping upstreams through an outage against not using one that left."""

    def test_random_days(self) -> None:
        for n_upstreams, n_days in ((4, 40), (200, 4)):
            for seed in range(n_days):
                day = ModelDay(seed=seed, n_upstreams=n_upstreams)
                with self.subTest(n_upstreams=n_upstreams, seed=seed):
                    while day.now < DAY_S:
                        day.step()
                        self.assertEqual(day.find_dropped(), set(), day.now)
                        self.assertEqual(day.find_kept(), set(), day.now)
