"""Outcomes of the loads of the slot queue's tests, by kind, before and after.

Run with ``python benchmarks/admission_under_load.py``.
"""

from collections.abc import Iterable

from foxtailway.traffic.contended_slot_queue import ContendedSlotQueue
from foxtailway.traffic.slot_queue import QueuedRequest, SlotQueue
from foxtailway.traffic.tests.load_mixes import (
    make_burst_mix,
    make_callee_mix,
    make_single_mix,
    make_slow_mix,
    make_wave_mix,
)
from foxtailway.traffic.tests.load_model import Kind, LoadModel

# Time added to the due time for each step of the priority, in seconds.
DEADLINE_STEP_S = 0.3
# Queue length per slot from which only the most urgent requests are admitted.
SHED_LENGTH = 1.0


class ReserveQueue(SlotQueue):
    """Queue that always leaves one slot to calls and to the highest priority."""

    def offer(self, request: QueuedRequest, now: float) -> bool | None:
        """Refuse others if they would take the last slot."""
        is_urgent = request.is_call or request.priority == 0
        if not is_urgent and self.n_running >= self.n_slots - 1:
            return False
        return super().offer(request, now)

    def get_sort_key(self, request: QueuedRequest) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request; calls precede others."""
        priority = -1 if request.is_call else request.priority
        return (request.is_late, priority, request.due_at)


class FairDeadlineQueue(SlotQueue):
    """Queue by due time, to which each step of the priority adds a fixed time."""

    def get_sort_key(self, request: QueuedRequest) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request."""
        step = -1 if request.is_call else request.priority
        return (request.is_late, 0, request.due_at + DEADLINE_STEP_S * step)


class ThresholdQueue(SlotQueue):
    """Queue that sheds by a priority threshold, which its length determines."""

    def offer(self, request: QueuedRequest, now: float) -> bool | None:
        """Refuse requests beyond the threshold."""
        priority = -1 if request.is_call else request.priority
        if priority * len(self.waiting) > SHED_LENGTH * self.n_slots:
            return False
        return super().offer(request, now)

    def get_sort_key(self, request: QueuedRequest) -> tuple[bool, int, float]:
        """Return the sort key of a waiting request; calls precede others."""
        priority = -1 if request.is_call else request.priority
        return (request.is_late, priority, request.due_at)


QUEUE_TYPES = (
    SlotQueue,
    ReserveQueue,
    FairDeadlineQueue,
    ThresholdQueue,
    ContendedSlotQueue,
)
SEEDS = (1, 2, 3, 4)
LOADS = {
    "bursts": (make_burst_mix(), 3, 25.0),
    "bursts, one service": (make_burst_mix(is_shared=True), 3, 25.0),
    "wave": (make_wave_mix(), 3, 60.0),
    "long beside urgent": (make_slow_mix(), 3, 25.0),
    "slow callee": (make_callee_mix(run_time_s=0.2, timeout_s=0.25), 3, 25.0),
    "lost callee": (make_callee_mix(run_time_s=0.5, timeout_s=0.05), 3, 25.0),
    "one kind a service": (make_single_mix(), 5, 25.0),
}


def run_models(
    kinds: tuple[Kind, ...],
    queue_type: type[SlotQueue],
    n_slots: int,
    duration_s: float,
    unknown: str = "",
) -> Iterable[LoadModel]:
    """Yield a finished model for each seed."""
    for seed in SEEDS:
        model = LoadModel(
            kinds=kinds,
            make_queue=lambda: queue_type(n_slots=n_slots),
            seed=seed,
            unknown=unknown,
        )
        model.simulate(duration_s)
        yield model


def describe(model: LoadModel) -> str:
    """Return a table of the outcomes by kind."""
    lines = [f"worth {model.worth_share:.3f}"]
    for name, counts in model.counts.items():
        delays = sorted(counts.refusal_delays_s) or [0.0]
        lines.append(
            f"  {name:8} n {counts.n_requests:6} served {counts.served_share:.3f}"
            f" timely {counts.timely_share:.3f}"
            f" failed {counts.n_failed / max(1, counts.n_requests):.3f}"
            f" refused {counts.n_refused / max(1, counts.n_requests):.3f}"
            f" again {counts.n_refused_again / max(1, counts.n_returned):.3f}"
            f" held {counts.n_held / max(1, len(delays)):.3f}"
            f" loss {counts.held_loss:6.1f}"
            f" delay p50 {delays[len(delays) // 2] * 1000:4.0f} ms"
            f" p95 {delays[int(0.95 * len(delays))] * 1000:4.0f} ms"
        )
    return "\n".join(lines)


def report(name: str, models: list[LoadModel]) -> None:
    """Print the mean worth of a load and the outcomes of its first seed."""
    worths = [model.worth_share for model in models]
    mean = sum(worths) / len(worths)
    print(f"{name}: worth {mean:.3f} ({min(worths):.3f} to {max(worths):.3f})")
    print(describe(models[0]))


def main() -> None:
    """Print the outcomes with each queue, and with entries that know less."""
    for name, (kinds, n_slots, duration_s) in LOADS.items():
        for queue_type in QUEUE_TYPES:
            models = list(run_models(kinds, queue_type, n_slots, duration_s))
            report(f"{name}, {queue_type.__name__}", models)
        for unknown in ("calls", "holds", "returns"):
            models = list(
                run_models(kinds, ContendedSlotQueue, n_slots, duration_s, unknown)
            )
            report(f"{name}, {unknown} unknown", models)


if __name__ == "__main__":
    main()
