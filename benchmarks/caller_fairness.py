"""Fairness among callers of an overloaded upstream, in simulated time.

One caller, named loud, offers a multiple of the upstream's capacity; four quiet
callers offer a twentieth of the capacity each. The same load is offered to a queue
that cannot distinguish the callers.
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

# Number of quiet callers.
N_QUIET_CALLERS = 4
# Load of a quiet caller as a share of the capacity.
QUIET_CALLER_LOAD = 0.05
# Admission policy, in the notation of `make_queue`.
POLICY = "adaptive+newest"


class FairnessSimulation(Simulation):
    """Simulation that counts the successful calls of each kind of caller.

    Parameters
    ----------
    is_caller_distinguished : bool
        Whether the queue knows the caller of a call.
    load : float
        Offered load as a multiple of the capacity.
    """

    def __init__(self, *, is_caller_distinguished: bool, load: float) -> None:
        super().__init__(queue=make_queue(POLICY), scenario=SCENARIOS[0], load=load)
        self.is_caller_distinguished = is_caller_distinguished
        self.kind_by_call_id: dict[str, str] = {}
        self.n_sent: Counter[str] = Counter()
        self.n_finished: Counter[str] = Counter()

    def choose_caller(self, call_id: str) -> str:
        """Choose the caller of a call and return its name for the queue."""
        caller = "loud"
        if (
            self.random_source.random()
            < N_QUIET_CALLERS * QUIET_CALLER_LOAD / self.load
        ):
            caller = f"quiet-{self.random_source.randrange(N_QUIET_CALLERS)}"
        caller_kind = caller.partition("-")[0]
        self.kind_by_call_id[call_id] = caller_kind
        self.n_sent[caller_kind] += 1
        return caller if self.is_caller_distinguished else "caller"

    def end(self, event: Event, now: float) -> None:
        """Count the call if it succeeds, then end it."""
        self.n_finished[self.kind_by_call_id[event.call_id]] += event.kind == "finish"
        super().end(event, now)


def main() -> None:
    """Print one JSON object for each load and kind of queue."""
    for load in (2.0, 5.0):
        for is_caller_distinguished in (False, True):
            simulation = FairnessSimulation(
                is_caller_distinguished=is_caller_distinguished, load=load
            )
            simulation.run()
            figures = {
                "measure": "caller_fairness",
                "load": load,
                "is_told_apart": is_caller_distinguished,
                "goodput_per_s": round(len(simulation.latencies_s) / DURATION_S),
            }
            for caller_kind, n_sent in sorted(simulation.n_sent.items()):
                n_finished = simulation.n_finished[caller_kind]
                figures[f"{caller_kind}_answered_ratio"] = round(n_finished / n_sent, 3)
            print(json.dumps(figures))


if __name__ == "__main__":
    main()
