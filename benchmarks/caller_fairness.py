"""Measure what a loud caller leaves to quiet ones, in simulated time.

One caller offers a multiple of the upstream's capacity; four quiet callers
offer a twentieth of it each. Compared with a queue that cannot tell callers
apart.
"""

import json
from collections import Counter

from benchmarks.admission_policies import (
    DURATION_S,
    SCENARIOS,
    Event,
    Simulation,
    make_queue,
)

__all__ = ["main"]

N_QUIET = 4
QUIET_SHARE = 0.05
POLICY = "adaptive+newest"


class FairnessSimulation(Simulation):
    """Count the answers of each caller."""

    def __init__(self, *, is_told_apart: bool, load: float) -> None:
        super().__init__(queue=make_queue(POLICY), scenario=SCENARIOS[0], load=load)
        self.is_told_apart = is_told_apart
        self.callers: dict[str, str] = {}
        self.n_sent: Counter[str] = Counter()
        self.n_answered: Counter[str] = Counter()

    def draw_caller(self, call_id: str) -> str:
        """Draw the caller of a call and return its name for the queue."""
        caller = "loud"
        if self.random_source.random() < N_QUIET * QUIET_SHARE / self.load:
            caller = f"quiet-{self.random_source.randrange(N_QUIET)}"
        kind = caller.partition("-")[0]
        self.callers[call_id] = kind
        self.n_sent[kind] += 1
        return caller if self.is_told_apart else "caller"

    def end(self, event: Event, now: float) -> None:
        """Count the answers."""
        self.n_answered[self.callers[event.call_id]] += event.kind == "finish"
        super().end(event, now)


def main() -> None:
    """Print one JSON object per load and kind of queue."""
    for load in (2.0, 5.0):
        for is_told_apart in (False, True):
            simulation = FairnessSimulation(is_told_apart=is_told_apart, load=load)
            simulation.run()
            figures = {
                "measure": "caller_fairness",
                "load": load,
                "is_told_apart": is_told_apart,
                "goodput_per_s": round(len(simulation.latencies_s) / DURATION_S),
            }
            for kind, n_sent in sorted(simulation.n_sent.items()):
                n_answered = simulation.n_answered[kind]
                figures[f"{kind}_answered_ratio"] = round(n_answered / n_sent, 3)
            print(json.dumps(figures))


if __name__ == "__main__":
    main()
