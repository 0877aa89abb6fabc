"""State of one endpoint, from the observations of this node."""

from foxtailway.model.host import Host
from foxtailway.routing.balancer import CallObservation, ObservationKind

__all__ = ["FAILURE_KINDS", "EndpointState"]

# Weight of the newest sample in the exponential moving averages.
SMOOTHING_FACTOR = 0.25
# Age from which a latency is not compared, and failure and refusal ratios decay.
STALE_AFTER_S = 5.0
# Failure ratio above which an endpoint is ejected.
EJECTION_FAILURE_RATIO = 0.5
# Failure ratio after an ejection; few further failures eject the endpoint again.
READMISSION_FAILURE_RATIO = 0.4
# Duration of the first ejection; each further one lasts twice as long.
EJECTION_BASE_S = 1.0
# Upper bound on the duration of an ejection.
EJECTION_MAX_S = 60.0
# Time after an ejection from which the next one lasts the base duration again.
EJECTION_RESET_S = 60.0
# Smallest share of its load that an endpoint receives during slow start.
MIN_SLOW_START_SHARE = 0.1
# Relative increase of the cost at a failure ratio of 1.
FAILURE_WEIGHT = 8.0
# Relative increase of the cost at a refusal ratio of 1.
REFUSAL_WEIGHT = 4.0
FAILURE_KINDS = frozenset(
    (ObservationKind.FAILED, ObservationKind.LOST, ObservationKind.TIMED_OUT)
)


class EndpointState:
    """Load, latency, failures and ejection of one endpoint.

    Parameters
    ----------
    host : Host
        Host of the endpoint.
    ready_at : float
        Time at which the endpoint started to accept calls, in seconds.

    Attributes
    ----------
    n_in_flight : int
        Calls of this node that are in flight.
    latency_s, latency_at : float
        Moving average of the latency of calls that succeeded or timed out, and
        the time of the last sample, in seconds.
    failure_ratio, refusal_ratio : float
        Moving averages of the ratios of failed and refused calls.
    ejected_until, draining_until : float
        Times until which the endpoint receives no new calls, in seconds.
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
        """Record the end of one call.

        Calls that end during an ejection started before it and are ignored, since
        the ejection already reflects them.
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
        """Update the average latency with a sample; restart it if it is stale."""
        if self.is_latency_stale(now):
            self.latency_s = latency_s
        self.latency_s += SMOOTHING_FACTOR * (latency_s - self.latency_s)
        self.latency_at = now

    def is_latency_stale(self, now: float) -> bool:
        """Return whether the latency is too old to be compared."""
        return now - self.latency_at >= STALE_AFTER_S

    def decay_ratios(self, now: float) -> None:
        """Halve the failure ratio and reset the refusal ratio if they are stale."""
        if now - self.observed_at < STALE_AFTER_S:
            return
        self.observed_at = now
        self.failure_ratio *= 0.5
        self.refusal_ratio = 0.0

    def cost(self) -> float:
        """Return the expected cost of one more call, without the latency."""
        penalty = 1.0 + FAILURE_WEIGHT * self.failure_ratio
        return (self.n_in_flight + 1) * (penalty + REFUSAL_WEIGHT * self.refusal_ratio)

    def slow_start_share(self, slow_start_s: float, now: float) -> float:
        """Return the share of its full load that the endpoint may receive."""
        age_s = now - self.ready_at
        if age_s >= slow_start_s:
            return 1.0
        return max(MIN_SLOW_START_SHARE, age_s / slow_start_s)

    @property
    def is_failing(self) -> bool:
        """Whether the failure ratio exceeds the threshold for an ejection."""
        return self.failure_ratio > EJECTION_FAILURE_RATIO

    def eject(self, now: float) -> None:
        """Eject the endpoint; each further ejection lasts twice as long."""
        if now - self.ejected_until > EJECTION_RESET_S:
            self.n_ejections = 0
        duration_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**self.n_ejections)
        self.n_ejections = min(self.n_ejections + 1, 16)
        self.ejected_until = now + duration_s
        self.ready_at = self.ejected_until
        self.observed_at = self.ejected_until
        self.latency_at = float("-inf")
        self.failure_ratio = READMISSION_FAILURE_RATIO
