"""Choice of the upstream for a request."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from random import Random

from foxtailway.traffic.configuration import TrafficRoute
from foxtailway.traffic.membership import Upstream

__all__ = ["LoadReport", "UpstreamSelector"]

# Loss of worth of a call that leaves its availability zone or its region.
ZONE_COST = 0.1
REGION_COST = 0.38
# One-way delays assumed for calls within a region and between regions, seconds.
REGION_DELAY_S = 0.0015
REMOTE_DELAY_S = 0.012
# Worth of an answer that comes after the target latency.
LATE_WORTH = 0.3
# Age from which a measured run time loses weight, and its time constant, seconds.
FRESH_S = 1.0
FORGET_S = 1.5
# Age after which a report of load says nothing, in seconds.
REPORT_AGE_S = 1.0
# Weights of a new sample in the averages of an upstream, a route and failures.
GAIN = 0.2
ROUTE_GAIN = 0.05
FAILURE_GAIN = 0.1
# Time for which a peer that could not be reached is passed over, in seconds.
UNREACHABLE_S = 0.5
# Run time assumed before any was measured, in seconds.
INITIAL_RUN_TIME_S = 0.05
# Largest random difference of worth, which spreads equal choices.
JITTER = 0.01
# Worth of a second of an upstream's time, which decides between equal answers.
RUN_TIME_PRICE = 0.02
# Parts of the time until a request is due: an answer expected up to the first is
# worth all of it, one expected from the second on is late.
FULL_WORTH_SHARE = 0.7
LATE_SHARE = 1.2
# Slowdown of an upstream that has just started.
COLD_FACTOR = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Tell how busy an upstream is, as seen by the node beside it.

    Parameters
    ----------
    n_busy : int
        Requests that run or wait.
    n_slots : int
        Requests that run at once.
    run_time_s : float
        Mean run time of the upstream's requests, in seconds.
    """

    n_busy: int
    n_slots: int
    run_time_s: float


@dataclass(slots=True, kw_only=True)
class UpstreamView:
    """Hold what this node has seen of an upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream as registered.
    seen_at : float
        Time at which it was first seen, in seconds.
    """

    upstream: Upstream
    seen_at: float
    n_in_flight: int = 0
    n_sent_since_report: int = 0
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    failure_ratio: float = 0.0
    failed_at: float = float("-inf")
    unreachable_until: float = float("-inf")

    def estimate_busy(self, now: float) -> float:
        """Return the estimated number of running and waiting requests."""
        if self.report is None or now - self.reported_at > REPORT_AGE_S:
            return self.n_in_flight
        return max(self.report.n_busy + self.n_sent_since_report, self.n_in_flight)


@dataclass(slots=True, kw_only=True)
class RunTime:
    """Hold a mean run time and its last sample's time, both in seconds."""

    mean_s: float
    at: float


class UpstreamSelector:
    """Choose the upstream from which an answer is worth most.

    Parameters
    ----------
    zone : str
        Availability zone of the node.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    random_source : Random
        Breaks ties.

    Notes
    -----
    The worth of an answer falls with its expected latency, from one within the
    route's target to `LATE_WORTH` until the deadline and nothing after it. What
    a call costs beyond its zone or region is taken off. Run times are averaged
    by upstream and route and fade towards the mean of the route, so that an
    upstream that was slow is tried again.
    """

    def __init__(
        self, *, zone: str, zone_regions: Mapping[str, str], random_source: Random
    ) -> None:
        self.zone = zone
        self.zone_regions = zone_regions
        self.random_source = random_source
        self.views: dict[str, UpstreamView] = {}
        self.run_times: dict[tuple[str, str], RunTime] = {}
        self.route_run_times_s: dict[str, float] = {}

    def get_view(self, upstream: Upstream, now: float) -> UpstreamView:
        """Return what is known of an upstream."""
        found = self.views.get(upstream.upstream_id)
        if found is None or found.upstream.start_time_ms != upstream.start_time_ms:
            found = UpstreamView(upstream=upstream, seen_at=now)
            self.views[upstream.upstream_id] = found
        found.upstream = upstream
        return found

    def retain(self, upstream_ids: frozenset[str]) -> None:
        """Forget upstreams that are gone."""
        for upstream_id in self.views.keys() - upstream_ids:
            del self.views[upstream_id]
        gone = [key for key in self.run_times if key[0] not in upstream_ids]
        for key in gone:
            del self.run_times[key]

    def choose(
        self,
        *,
        route: TrafficRoute,
        upstreams: tuple[Upstream, ...],
        excluded: frozenset[str],
        due_at: float,
        deadline: float,
        now: float,
    ) -> UpstreamView | None:
        """Return the best upstream, or None when there is none to try."""
        may_queue_far = not self.has_upstream_in_region(upstreams)
        best = None
        best_worth = 0.0
        for upstream in upstreams:
            if upstream.upstream_id in excluded:
                continue
            view = self.get_view(upstream, now)
            worth = self.estimate_worth(
                view, route, due_at, deadline, now, may_queue_far
            )
            worth += JITTER * self.random_source.random()
            if best is None or worth > best_worth:
                best, best_worth = view, worth
        return best

    def estimate_worth(
        self,
        view: UpstreamView,
        route: TrafficRoute,
        due_at: float,
        deadline: float,
        now: float,
        may_queue_far: bool = False,
    ) -> float:
        """Return the expected worth of an answer, less the cost of the way."""
        if view.unreachable_until > now:
            return -1.0
        cost, delay_s = self.measure_way(view.upstream.zone)
        wait_s = self.estimate_wait(view, now)
        is_near = self.is_in_region(view.upstream.zone)
        if wait_s > 0.0 and not is_near and not may_queue_far:
            return -cost
        run_time_s = self.estimate_run_time(view, route.name, now)
        finish = now + 2 * delay_s + wait_s + run_time_s
        worth = answer_worth(finish, now=now, due_at=due_at, deadline=deadline)
        failure_ratio = view.failure_ratio * exp(-(now - view.failed_at) / FORGET_S)
        return worth * (1.0 - failure_ratio) - cost - RUN_TIME_PRICE * run_time_s

    def estimate_wait(self, view: UpstreamView, now: float) -> float:
        """Return the expected time until a slot is free, in seconds."""
        report = view.report
        n_slots = view.upstream.n_slots if report is None else report.n_slots
        mean_s = INITIAL_RUN_TIME_S if report is None else report.run_time_s
        n_ahead = view.estimate_busy(now) - n_slots + 1
        return max(0.0, n_ahead) * mean_s / max(1, n_slots)

    def mean_run_time(self, route: str) -> float:
        """Return the mean run time of a route's requests, in seconds."""
        return self.route_run_times_s.get(route, INITIAL_RUN_TIME_S)

    def estimate_run_time(self, view: UpstreamView, route: str, now: float) -> float:
        """Return the expected run time of a request, in seconds."""
        mean_s = self.mean_run_time(route)
        known = self.run_times.get((view.upstream.upstream_id, route))
        if known is not None:
            age_s = max(0.0, now - known.at - FRESH_S)
            return mean_s + (known.mean_s - mean_s) * exp(-age_s / FORGET_S)
        if now - view.seen_at < view.upstream.warm_up_s:
            return mean_s * COLD_FACTOR
        return mean_s

    def has_free_slot(self, view: UpstreamView, now: float) -> bool:
        """Whether an upstream can be reached and is expected to have a free slot."""
        return view.unreachable_until <= now and self.estimate_wait(view, now) == 0.0

    def has_upstream_in_region(self, upstreams: tuple[Upstream, ...]) -> bool:
        """Whether one of the upstreams is in this node's region.

        Otherwise requests queue in another region. They do not while there is a
        near one, so that two overloaded regions do not exchange their queues.
        """
        return any(self.is_in_region(upstream.zone) for upstream in upstreams)

    def is_in_region(self, zone: str) -> bool:
        """Whether a zone belongs to this node's region."""
        if zone == self.zone:
            return True
        region = self.zone_regions.get(zone)
        return region is not None and region == self.zone_regions.get(self.zone)

    def measure_way(self, zone: str) -> tuple[float, float]:
        """Return the cost of a call to a zone and its one-way delay in seconds."""
        if zone == self.zone:
            return 0.0, 0.0
        if self.is_in_region(zone):
            return ZONE_COST, REGION_DELAY_S
        return REGION_COST, REMOTE_DELAY_S

    def record_sent(self, view: UpstreamView) -> None:
        """Count a request that is on its way."""
        view.n_in_flight += 1
        view.n_sent_since_report += 1

    def record_finished(self, view: UpstreamView) -> None:
        """Count a request that has ended."""
        view.n_in_flight -= 1

    def record_report(
        self, view: UpstreamView, report: LoadReport | None, now: float
    ) -> None:
        """Take over a report of load."""
        if report is None:
            return
        view.report = report
        view.reported_at = now
        view.n_sent_since_report = 0

    def record_run(
        self, view: UpstreamView, route: str, run_time_s: float, now: float
    ) -> None:
        """Learn from an answer of the upstream."""
        self.record_upstream_run_time(view, route, run_time_s, now)
        mean_s = self.route_run_times_s.get(route, run_time_s)
        self.route_run_times_s[route] = mean_s + ROUTE_GAIN * (run_time_s - mean_s)
        view.failure_ratio *= 1.0 - FAILURE_GAIN
        view.unreachable_until = float("-inf")

    def record_upstream_run_time(
        self, view: UpstreamView, route: str, run_time_s: float, now: float
    ) -> None:
        """Learn how slow this upstream is, but nothing about the route."""
        key = (view.upstream.upstream_id, route)
        known = self.run_times.get(key)
        if known is None:
            self.run_times[key] = RunTime(mean_s=run_time_s, at=now)
        else:
            known.mean_s += GAIN * (run_time_s - known.mean_s)
            known.at = now

    def record_failure(self, view: UpstreamView, now: float) -> None:
        """Learn from a request that the upstream failed or refused."""
        view.failure_ratio += FAILURE_GAIN * (1.0 - view.failure_ratio)
        view.failed_at = now

    def record_unreachable(self, view: UpstreamView, now: float) -> None:
        """Learn that the node beside an upstream cannot be reached."""
        view.unreachable_until = now + UNREACHABLE_S


def answer_worth(finish: float, *, now: float, due_at: float, deadline: float) -> float:
    """Return the expected worth of an answer at a time.

    Examples
    --------
    >>> answer_worth(0.1, now=0.0, due_at=1.0, deadline=2.0)
    1.0
    >>> answer_worth(3.0, now=0.0, due_at=1.0, deadline=2.0)
    0.0
    """
    if finish >= deadline:
        return 0.0
    if due_at <= now:
        return LATE_WORTH
    used = (finish - now) / (due_at - now)
    if used <= FULL_WORTH_SHARE:
        return 1.0
    if used >= LATE_SHARE:
        return LATE_WORTH
    lost = (used - FULL_WORTH_SHARE) / (LATE_SHARE - FULL_WORTH_SHARE)
    return 1.0 - lost * (1.0 - LATE_WORTH)
