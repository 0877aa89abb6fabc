"""State of one upstream as an entry observes it."""

from dataclasses import dataclass
from math import exp, sqrt
from random import Random

from foxtailway.traffic.load_report import LoadReport
from foxtailway.traffic.membership import Upstream

__all__ = ["DECAY_TIME_S", "INITIAL_RUN_TIME_S", "UpstreamView"]

# Time constant with which an entry's own observations decay.
DECAY_TIME_S = 1.5
# Age up to which the entry's own run times have their full weight.
RUN_TIME_HOLD_S = 1.0
# Run time assumed before the first measurement.
INITIAL_RUN_TIME_S = 0.05
# Weight of a run time in the entry's own ratio.
OBSERVATION_GAIN = 0.2
# Largest run time that counts, as a multiple of the expected one.
MAX_OBSERVATION = 8.0
# Own ratio below which an upstream counts as fast as its sidecar reports. An average of
# five runs that spread by 0.8 of their mean often reaches 1.4.
MIN_OBSERVED_SLOWDOWN = 1.6
# Weight of a result in the entry's own share of failed requests.
FAILURE_GAIN = 0.1
# Time constant with which the expected number of busy slots approaches its usual value
# after a report.
BUSY_DECAY_S = 0.5
# Time constant of the usual load of an upstream, and the least weight of a report.
LOAD_TIME_S = 2.0
MIN_LOAD_GAIN = 0.1
# Usual load assumed before the first report.
INITIAL_LOAD = 0.5
# Factor of the variance of the number of busy slots in the expected wait. The result
# equals that of a normal distribution where the mean number is that of the slots.
VARIANCE_FACTOR = 0.64
# Requests that all entries together have under way as probes of a degraded upstream.
N_PROBES = 2
# Largest number of probes of all entries per second. One that fails at once would
# otherwise get many.
MAX_PROBES_PER_S = 5.0
# Longest time for which an entry sends nothing to a degraded upstream.
MAX_PROBE_INTERVAL_S = 20.0
# Ratio of the run time of a cold upstream to that of a warm one.
COLD_FACTOR = 2.0
# Largest number of permits of a cold upstream that an entry saves up.
MAX_SAVED_PERMITS = 1.0
# Time without a look at a cold upstream after which an entry's permits begin anew.
PERMIT_RESET_S = 5.0
# Age up to which the permits in a report of a cold upstream count.
PERMIT_REPORT_AGE_S = 0.5


@dataclass(slots=True, kw_only=True)
class UpstreamView:
    """State of an upstream as observed by this node.

    Parameters
    ----------
    upstream : Upstream
        Registry entry of the upstream.
    entry_at : float
        Monotonic time at which that entry was first observed, in seconds.
    n_in_flight : int, default=0
        Requests of this node that have been sent and have not ended.
    n_sent_since_report : int, default=0
        Requests that this node has sent since the last load report.
    report : LoadReport or None, default=None
        Last load report of the upstream.
    reported_at : float
        Monotonic time at which the report arrived, in seconds.
    usual_load : float
        Average ratio of running and waiting requests to slots in the reports.
    observed_ratio : float, default=1.0
        Average ratio of the run times of this node's requests to the expected ones.
    observed_at : float
        Monotonic time of the last such run, in seconds.
    observed_failure_ratio : float, default=0.0
        Average of the share of this node's requests that failed or were refused.
    failed_at : float
        Monotonic time of the last such request, in seconds.
    probe_at : float
        Monotonic time from which a degraded upstream may get a request again, in
        seconds.
    n_saved_permits : float, default=0.0
        Requests that this node may send to the upstream while it is cold.
    permits_at : float
        Monotonic time at which these were computed, in seconds.
    unreachable_until : float
        Monotonic time until which the upstream is avoided, in seconds.
    replaced_until : float
        Monotonic time until which the upstream gets no requests, in seconds.
    """

    upstream: Upstream
    entry_at: float
    n_in_flight: int = 0
    n_sent_since_report: int = 0
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    usual_load: float = INITIAL_LOAD
    observed_ratio: float = 1.0
    observed_at: float = float("-inf")
    observed_failure_ratio: float = 0.0
    failed_at: float = float("-inf")
    probe_at: float = float("-inf")
    n_saved_permits: float = 0.0
    permits_at: float = float("-inf")
    unreachable_until: float = float("-inf")
    replaced_until: float = float("-inf")

    @property
    def n_slots(self) -> int:
        """Requests that the upstream can sustain at once; at least 1."""
        report = self.report
        return max(1, self.upstream.n_slots if report is None else report.n_slots)

    @property
    def speed_ratio(self) -> float:
        """Lasting ratio of the run times of the upstream to the mean."""
        return 1.0 if self.report is None else self.report.speed_ratio

    @property
    def mean_run_time_s(self) -> float:
        """Mean run time of all requests of the upstream, in seconds."""
        return INITIAL_RUN_TIME_S if self.report is None else self.report.run_time_s

    @property
    def is_degraded(self) -> bool:
        """Whether the upstream was slow or failed requests when it last reported."""
        return self.report is not None and self.report.is_degraded

    def estimate_wait(self, now: float) -> float:
        """Return the expected time until a slot is free, in seconds.

        With its age, a report tells less, since other entries have sent requests as
        well; the number of requests then approaches the usual one of this upstream.
        """
        n_own = min(self.n_sent_since_report, self.n_in_flight)
        report = self.report
        if report is None:
            n_slots = max(1, self.upstream.n_slots)
            variance = self.usual_load * n_slots
            n_busy = max(variance, n_own)
            run_time_s = INITIAL_RUN_TIME_S
        else:
            n_slots = report.n_slots or 1
            usual = self.usual_load * n_slots
            freshness = exp((self.reported_at - now) / BUSY_DECAY_S)
            n_busy = usual + freshness * (report.n_busy - usual + n_own)
            if n_busy < n_own:
                n_busy = n_own
            variance = (1.0 - freshness) * (n_busy if n_busy > usual else usual)
            run_time_s = report.run_time_s
        n_ahead = n_busy - n_slots + 1.0
        n_ahead = (n_ahead + sqrt(n_ahead * n_ahead + VARIANCE_FACTOR * variance)) / 2
        return n_ahead * run_time_s / n_slots

    def has_free_slot(self, now: float) -> bool:
        """Return whether a slot is likely to be free, as of the last report."""
        if self.unreachable_until > now:
            return False
        n_busy = self.n_in_flight
        if self.report is not None and now - self.reported_at <= RUN_TIME_HOLD_S:
            n_busy = max(n_busy, self.report.n_busy + self.n_sent_since_report)
        return n_busy < self.n_slots

    def is_probe_due(self, now: float) -> bool:
        """Return whether a degraded upstream may get one request as a probe."""
        return now >= self.probe_at and not self.n_in_flight

    def estimate_slowdown(self, now: float) -> float:
        """Return the present ratio of run times to the usual ones of the upstream."""
        slowdown = 1.0
        report = self.report
        if report is not None and report.slowdown > 1.0 and not self.is_probe_due(now):
            slowdown = report.slowdown
        if self.observed_ratio > MIN_OBSERVED_SLOWDOWN:
            age_s = max(0.0, now - self.observed_at - RUN_TIME_HOLD_S)
            observed = 1.0 + (self.observed_ratio - 1.0) * exp(-age_s / DECAY_TIME_S)
            slowdown = max(slowdown, observed)
        if self.is_cold(now):
            slowdown = max(slowdown, COLD_FACTOR)
        return slowdown

    def estimate_failure_ratio(self, now: float) -> float:
        """Return the expected share of failed requests."""
        ratio = 0.0
        report = self.report
        if report is not None and report.failure_ratio and not self.is_probe_due(now):
            ratio = report.failure_ratio
        if self.observed_failure_ratio:
            decay = exp(-(now - self.failed_at) / DECAY_TIME_S)
            ratio = max(ratio, self.observed_failure_ratio * decay)
        return ratio

    def record_report(
        self, report: LoadReport, n_entries: int, random_source: Random, now: float
    ) -> None:
        """Store a load report.

        Parameters
        ----------
        report : LoadReport
            Load of the upstream.
        n_entries : int
            Entries that commonly use the upstream. Together they send a degraded one
            few probes at a time.
        random_source : Random
            Spreads the probes of the entries.
        now : float
            Monotonic time, in seconds.
        """
        share = report.n_busy / max(1, report.n_slots)
        gain = 1.0 - exp(-(now - self.reported_at) / LOAD_TIME_S)
        self.usual_load += max(gain, MIN_LOAD_GAIN) * (share - self.usual_load)
        self.report = report
        self.reported_at = now
        self.n_sent_since_report = 0
        if report.is_degraded:
            run_time_s = report.run_time_s * report.slowdown
            probe_s = max(run_time_s / N_PROBES, 1.0 / MAX_PROBES_PER_S)
            interval_s = min(n_entries * probe_s, MAX_PROBE_INTERVAL_S)
            self.probe_at = now + interval_s * (0.5 + random_source.random())

    def record_run_time(self, run_time_s: float, expected_s: float, now: float) -> None:
        """Update the entry's own ratio after a run.

        Parameters
        ----------
        run_time_s, expected_s : float
            Run time and the one expected from the lasting ratio, in seconds.
        now : float
            Monotonic time, in seconds.
        """
        ratio = min(run_time_s / max(expected_s, 1e-6), MAX_OBSERVATION)
        self.observed_ratio += OBSERVATION_GAIN * (ratio - self.observed_ratio)
        self.observed_at = now

    def record_success(self) -> None:
        """Update the entry's own share of failed requests after a response."""
        self.observed_failure_ratio *= 1.0 - FAILURE_GAIN
        self.unreachable_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Update the share after a request that failed or was refused."""
        self.observed_failure_ratio += FAILURE_GAIN * (
            1.0 - self.observed_failure_ratio
        )
        self.failed_at = now

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold, by its registry entry or report."""
        if now < self.entry_at + self.upstream.warm_up_s:
            return True
        report = self.report
        return report is not None and now < self.reported_at + report.warm_in_s

    def get_available_in(self, now: float) -> float:
        """Return the time until the upstream is reachable and warm, in seconds."""
        available_at = max(
            self.unreachable_until, self.entry_at + self.upstream.warm_up_s
        )
        if self.report is not None:
            available_at = max(available_at, self.reported_at + self.report.warm_in_s)
        return max(0.0, available_at - now)

    def has_cold_permit(
        self, rate_per_s: float, random_source: Random, now: float
    ) -> bool:
        """Return whether this entry may send a request to the cold upstream.

        Parameters
        ----------
        rate_per_s : float
            Share of this entry in the requests per second that the upstream sustains.
        random_source : Random
            Spreads the first requests of the entries to an upstream that became cold.
        now : float
            Monotonic time, in seconds.
        """
        elapsed_s = now - self.permits_at
        self.permits_at = now
        if elapsed_s > PERMIT_RESET_S:
            self.n_saved_permits = random_source.random()
        else:
            n_saved_permits = self.n_saved_permits + elapsed_s * rate_per_s
            self.n_saved_permits = min(n_saved_permits, MAX_SAVED_PERMITS)
        if self.n_saved_permits < 1.0:
            return False
        report = self.report
        if report is None or not report.warm_in_s:
            return True
        is_recent = now - self.reported_at <= PERMIT_REPORT_AGE_S
        return not is_recent or report.n_cold_permits > self.n_sent_since_report
