"""Random days of a registry whose writes are done late, lost and out of order."""

from dataclasses import dataclass, replace
from random import Random
from unittest import TestCase

from foxtailway.traffic.membership import Membership, Upstream
from foxtailway.traffic.registry_change import RegistryChange
from foxtailway.traffic.restore_guard import RestoreGuard
from foxtailway.traffic.tests.builders import make_upstream

SERVICE = "records"
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
STEP_S = 0.1
DAY_S = 60.0
# Times in which writes are not answered and done late, if at all.
DISRUPTION_S = 4.5
MAX_LATE_S = 6.0
# Time without such writes after which a removal binds all nodes.
STABILITY_S = 3.0
# Time within which a node has to apply a removal.
DRAIN_S = 2.0


@dataclass(slots=True, kw_only=True)
class ModelUpstream:
    """Upstream that renews its entry until it leaves."""

    entry: Upstream
    renews_at: float
    left_at: float = float("inf")


class ModelRegistry:
    """Registry that keeps the changes in order."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Upstream] = {}
        self.written_at: dict[str, float] = {}
        self.events: list[tuple[str, Upstream | None]] = []

    def put(self, entry: Upstream, now: float) -> None:
        self.revision += 1
        known = self.items.get(entry.upstream_id)
        created = known.created_revision if known else self.revision
        stored = replace(entry, created_revision=created)
        self.items[entry.upstream_id] = stored
        self.written_at[entry.upstream_id] = now
        self.events.append((entry.upstream_id, stored))

    def remove(self, upstream_id: str) -> None:
        if self.items.pop(upstream_id, None) is not None:
            self.revision += 1
            self.events.append((upstream_id, None))

    def expire(self, now: float) -> None:
        for upstream_id in list(self.items):
            if now - self.written_at[upstream_id] >= EXPIRY_S:
                self.remove(upstream_id)

    def read(self, after: int | None) -> RegistryChange:
        """Return the last state of each key that changed, or a listing."""
        if after is None:
            return RegistryChange(
                base_revision=None,
                revision=self.revision,
                upstreams=tuple(self.items.values()),
            )
        latest = dict(self.events[after:])
        return RegistryChange(
            base_revision=after,
            revision=self.revision,
            upstreams=tuple(item for item in latest.values() if item is not None),
            removed=tuple(key for key, item in latest.items() if item is None),
        )


class ModelNode:
    """Node that reads the registry, or applies what another one has read."""

    def __init__(self) -> None:
        self.membership = Membership()
        self.guard = RestoreGuard(membership=self.membership)
        self.revision: int | None = None

    def apply(self, change: RegistryChange, now: float) -> RegistryChange:
        admitted = self.guard.admit(change)
        if admitted.base_revision is None:
            self.membership.replace_all(admitted.upstreams, now)
        else:
            self.membership.update(admitted.upstreams, admitted.removed, now)
        self.revision = change.revision
        return admitted


class ModelDay:
    """Upstreams, their registry and three nodes of which one reads it at a time."""

    def __init__(self, *, seed: int, n_upstreams: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.registry = ModelRegistry()
        self.nodes = [ModelNode() for _ in range(3)]
        self.late: list[tuple[float, Upstream]] = []
        self.upstreams = {
            f"u-{number}": ModelUpstream(
                entry=make_upstream(f"u-{number}", port=number, sequence=0),
                renews_at=0.0,
            )
            for number in range(n_upstreams)
        }
        self.disrupted_until = 0.0

    def step(self) -> None:
        self.now += STEP_S
        if self.random.random() < STEP_S / 10.0:
            self.disrupted_until = self.now + self.random.uniform(0.5, DISRUPTION_S)
        for model in self.upstreams.values():
            self.step_upstream(model)
        for item in [item for item in self.late if item[0] <= self.now]:
            self.late.remove(item)
            self.registry.put(item[1], self.now)
        self.registry.expire(self.now)
        if self.random.random() < 0.3:
            self.distribute()

    def step_upstream(self, model: ModelUpstream) -> None:
        """Renew the entry of an upstream, or let it leave."""
        if model.left_at <= self.now:
            return
        is_stable = self.now >= self.disrupted_until + STABILITY_S
        if is_stable and self.random.random() < STEP_S / 30.0:
            model.left_at = self.now
            self.registry.remove(model.entry.upstream_id)
        elif self.now >= model.renews_at:
            model.entry = replace(model.entry, sequence=model.entry.sequence + 1)
            model.renews_at = self.now + HEARTBEAT_S * self.random.uniform(0.8, 1.2)
            self.write(model.entry)

    def write(self, entry: Upstream) -> None:
        """Write an entry, in a disruption sometimes late, twice or not at all."""
        how = "at once"
        if self.now < self.disrupted_until:
            how = self.random.choice(("at once", "late", "twice", "lost"))
        if how in ("at once", "twice"):
            self.registry.put(entry, self.now)
        if how in ("late", "twice"):
            done_at = self.now + self.random.uniform(1.0, MAX_LATE_S)
            self.late.append((done_at, entry))

    def distribute(self) -> None:
        """Let one node read the registry and the others apply what it forwards."""
        reader = self.random.choice(self.nodes)
        is_history_lost = self.random.random() < 0.1
        change = self.registry.read(None if is_history_lost else reader.revision)
        forwarded = reader.apply(change, self.now)
        for node in self.nodes:
            if node is reader:
                continue
            is_cut = self.random.random() < 0.1
            base = forwarded.base_revision
            if is_cut or node.revision is None or (base or 0) > node.revision:
                node.apply(self.registry.read(node.revision), self.now)
            elif node.revision < forwarded.revision:
                node.apply(forwarded, self.now)

    def find_kept(self) -> set[str]:
        """Return the upstreams that left and still get requests."""
        return {
            upstream.upstream_id
            for node in self.nodes
            for upstream in node.membership.list_ready(SERVICE)
            if self.now - self.upstreams[upstream.upstream_id].left_at > DRAIN_S
        }

    def find_dropped(self) -> set[str]:
        """Return the upstreams whose newest entry is registered and unused."""
        registered = {
            key
            for key, model in self.upstreams.items()
            if (item := self.registry.items.get(key)) is not None
            and item.sequence == model.entry.sequence
            and model.left_at > self.now
        }
        return {
            upstream_id
            for node in self.nodes
            if node.revision == self.registry.revision
            for upstream_id in registered - node.membership.upstreams.keys()
        }


class LateWriteTest(TestCase):
    """An upstream that left stays out, and one that lives stays in."""

    def test_random_days(self) -> None:
        for n_upstreams, n_days in ((4, 100), (200, 4)):
            for seed in range(n_days):
                day = ModelDay(seed=seed, n_upstreams=n_upstreams)
                with self.subTest(n_upstreams=n_upstreams, seed=seed):
                    while day.now < DAY_S:
                        day.step()
                        self.assertEqual(day.find_kept(), set(), day.now)
                        self.assertEqual(day.find_dropped(), set(), day.now)
