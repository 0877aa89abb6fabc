"""What a node has observed of one endpoint."""

from foxtailway.model.host import Host
from foxtailway.routing.balancer import CallObservation, ObservationKind

__all__ = ["FAILURE_KINDS", "EndpointState"]

SMOOTHING_FACTOR = 0.25
STALE_AFTER_S = 5.0
EJECTION_FAILURE_RATIO = 0.5
READMISSION_FAILURE_RATIO = 0.4
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 60.0
EJECTION_RESET_S = 60.0
MIN_SLOW_START_SHARE = 0.1
FAILURE_WEIGHT = 8.0
REFUSAL_WEIGHT = 4.0
FAILURE_KINDS = frozenset(
    (ObservationKind.FAILED, ObservationKind.LOST, ObservationKind.TIMED_OUT)
)


class EndpointState:
    """Hold load, latency, failures and restrictions of one endpoint.

    Parameters
    ----------
    host : Host
        Host of the endpoint.
    ready_at : float
        Time at which the endpoint began to take work, in seconds.

    Attributes
    ----------
    n_in_flight : int
        Calls of this node that have not ended.
    latency_s, latency_at : float
        Moving average of the latency of answered calls and the time of the
        last one, in seconds.
    failure_ratio, refusal_ratio : float
        Moving averages of the share of failed and refused calls.
    ejected_until, draining_until : float
        Times until which the endpoint takes no new work, in seconds.
    """

    __slots__ = (
        "draining_until",
        "ejected_until",
        "failure_ratio",
        "host",
        "host_id",
        "latency_at",
        "latency_s",
        "n_ejections",
        "n_in_flight",
        "observed_at",
        "ready_at",
        "refusal_ratio",
    )

    def __init__(self, *, host: Host, ready_at: float) -> None:
        self.host = host
        self.host_id = host.host_id
        self.ready_at = ready_at
        self.observed_at = ready_at
        self.n_in_flight = 0
        self.n_ejections = 0
        self.latency_s = 0.0
        self.latency_at = float("-inf")
        self.failure_ratio = 0.0
        self.refusal_ratio = 0.0
        self.ejected_until = float("-inf")
        self.draining_until = float("-inf")

    def observe(self, observation: CallObservation, now: float) -> None:
        """Learn from the end of one call.

        Calls that end during an ejection were begun before it and count as
        known already.
        """
        kind = observation.kind
        if kind is ObservationKind.CANCELLED or now < self.ejected_until:
            return
        self.decay_ratios(now)
        self.observed_at = now
        is_refused = kind is ObservationKind.REFUSED_OVERLOAD
        self.refusal_ratio += SMOOTHING_FACTOR * (is_refused - self.refusal_ratio)
        if kind is ObservationKind.SUCCESS:
            self.failure_ratio -= SMOOTHING_FACTOR * self.failure_ratio
            self.record_latency(observation.latency_s, now)
        elif kind in FAILURE_KINDS:
            self.failure_ratio += SMOOTHING_FACTOR * (1.0 - self.failure_ratio)
        if kind is ObservationKind.TIMED_OUT:
            self.record_latency(observation.latency_s, now)

    def record_latency(self, latency_s: float, now: float) -> None:
        """Move the average latency towards a new sample or start it anew."""
        if self.is_latency_stale(now):
            self.latency_s = latency_s
        self.latency_s += SMOOTHING_FACTOR * (latency_s - self.latency_s)
        self.latency_at = now

    def is_latency_stale(self, now: float) -> bool:
        """Whether the latency is too old to be compared."""
        return now - self.latency_at >= STALE_AFTER_S

    def decay_ratios(self, now: float) -> None:
        """Discount failures and refusals that are old."""
        if now - self.observed_at < STALE_AFTER_S:
            return
        self.observed_at = now
        self.failure_ratio *= 0.5
        self.refusal_ratio = 0.0

    def cost(self) -> float:
        """Return the expected cost of one more call apart from the latency."""
        penalty = 1.0 + FAILURE_WEIGHT * self.failure_ratio
        return (self.n_in_flight + 1) * (penalty + REFUSAL_WEIGHT * self.refusal_ratio)

    def slow_start_share(self, slow_start_s: float, now: float) -> float:
        """Return the share of its full load that the endpoint may take."""
        age_s = now - self.ready_at
        if age_s >= slow_start_s:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age_s / slow_start_s)

    @property
    def is_failing(self) -> bool:
        """Whether the failures call for an ejection."""
        return self.failure_ratio > EJECTION_FAILURE_RATIO

    def eject(self, now: float) -> None:
        """Take the endpoint out; each further ejection lasts twice as long."""
        if now - self.ejected_until > EJECTION_RESET_S:
            self.n_ejections = 0
        duration_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**self.n_ejections)
        self.n_ejections = min(self.n_ejections + 1, 16)
        self.ejected_until = now + duration_s
        self.ready_at = self.ejected_until
        self.observed_at = self.ejected_until
        self.latency_at = float("-inf")
        self.failure_ratio = READMISSION_FAILURE_RATIO
