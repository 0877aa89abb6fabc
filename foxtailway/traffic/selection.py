"""Selection of the upstream for a request by expected utility."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from foxtailway.traffic.configuration import ServiceSettings, TrafficRoute
from foxtailway.traffic.load_report import LoadReport
from foxtailway.traffic.membership import Upstream
from foxtailway.traffic.response_utility import compute_utility
from foxtailway.traffic.upstream_view import INITIAL_RUN_TIME_S, UpstreamView
from foxtailway.traffic.zone_groups import ZoneGroup, ZoneGroups
from foxtailway.traffic.zone_spill import RESERVED_WEIGHT, ZoneSpill

__all__ = [
    "MAX_REFUSALS",
    "REPLACED_S",
    "LoadReport",
    "UpstreamSelector",
    "UpstreamView",
]

# Upstreams at which a request does not queue while another one may have a free slot. A
# refusal takes about a millisecond within a zone, and reports how long the queue is.
# With two of them, 1 in 100 requests was refused at 0.8 of the capacity, since a route
# has few attempts.
MAX_REFUSALS = 1
# Weight of a new sample in the mean run time of a route.
ROUTE_GAIN = 0.05
# Largest sample of the mean run time of a route, as a multiple of it.
MAX_ROUTE_SAMPLE = 6.0
# Time for which an upstream is avoided after its node could not be reached.
UNREACHABLE_S = 0.5
# Time for which an upstream gets no requests after another one responded at its
# address. By then, the registry has dropped it.
REPLACED_S = 2.0
# Difference in utility up to which upstreams are near-equal. One of them is drawn, so
# that entries with the same reports do not all turn to the same upstream.
NEAR_EQUAL_UTILITY = 0.05
# Utility lost per share of the time until a request is due that it is expected to take.
# Prefers the faster of two timely upstreams: run times vary, and the slower one is more
# often late.
LATENCY_COST = 0.1
# Weight of the expected wait in that time. Entries that only compare expected latencies
# fill the fast upstreams until their queues cost as much as the slower ones; a request
# that joins a queue also delays those behind it.
WAIT_WEIGHT = 3.0
# Share of the rate that a cold upstream sustains that the entries send it.
COLD_RATE_SHARE = 0.9
# Utility lost by a request to a cold upstream without a permit, more than any other
# loss. It is sent there only if all upstreams are cold, and its sidecar decides.
NO_PERMIT_COST = 2.0


# Upstreams of another zone that are compared for one request. More of them take most of
# the time of a choice and are hardly better; a request has up to four attempts.
MAX_SAMPLED = 6


class UpstreamSelector:
    """Selector of the upstream with the highest expected utility.

    Parameters
    ----------
    zone : str
        Availability zone of the node.
    zone_regions : Mapping of str to str
        Region of each availability zone.
    random_source : Random
        Source of the draws that spread requests over equal upstreams.

    Attributes
    ----------
    cold_rates : dict of str to float
        Requests per second that a cold upstream of a service sustains; only services
        with a limit.
    n_entries_by_zone : dict of str to int
        Number of hosts, each of which has an entry, by availability zone.

    Notes
    -----
    The utility of a response falls with its expected latency, from 1 within the
    route's target latency to `LATE_UTILITY` until the deadline and 0 after it. Calls to
    another availability zone or region have a cost, which is subtracted. The expected
    run time is the mean of the route times the lasting ratio of the upstream, which
    its sidecar measures and reports, times the present slowdown that the sidecar
    reports or that this node observes. The argument `now` of the methods is the
    monotonic time in seconds.
    """

    def __init__(
        self, *, zone: str, zone_regions: Mapping[str, str], random_source: Random
    ) -> None:
        self.zones = ZoneGroups(zone=zone, zone_regions=zone_regions)
        self.random_source = random_source
        self.spill = ZoneSpill(random_source=random_source)
        self.spill.zone_regions = zone_regions
        self.views: dict[str, UpstreamView] = {}
        self.route_run_times_s: dict[str, float] = {}
        self.n_route_samples: dict[str, int] = {}
        self.cold_rates: dict[str, float] = {}
        self.n_entries_by_zone: dict[str, int] = {}

    def get_view(self, upstream: Upstream, now: float) -> UpstreamView:
        """Return the state of an upstream; a new incarnation has a new state."""
        view = self.views.get(upstream.upstream_id)
        if view is None or view.upstream.start_time_ms != upstream.start_time_ms:
            view = UpstreamView(upstream=upstream, entry_at=now)
            self.views[upstream.upstream_id] = view
        elif view.upstream is not upstream:
            if view.upstream != upstream:
                view.entry_at = now
            view.upstream = upstream
        return view

    def retain(self, upstream_ids: frozenset[str]) -> None:
        """Delete the state of upstreams that are not among the given ones."""
        for upstream_id in self.views.keys() - upstream_ids:
            del self.views[upstream_id]
            self.spill.forget(upstream_id)

    def update_entries(self, upstreams: Iterable[Upstream]) -> None:
        """Count the entries; the sidecar beside each upstream is one."""
        zones = {upstream.address: upstream.zone for upstream in upstreams}
        self.n_entries_by_zone = dict(Counter(zones.values()))

    def apply_services(self, services: Iterable[ServiceSettings]) -> None:
        """Apply the limits of cold upstreams."""
        self.cold_rates = {
            service.name: service.cold_rate_per_s
            for service in services
            if service.cold_rate_per_s > 0.0
        }

    def apply_zones(self, zone: str, zone_regions: Mapping[str, str]) -> None:
        """Apply the zone of the node and the regions of the zones."""
        self.zones = ZoneGroups(zone=zone, zone_regions=zone_regions)

    def count_degraded(self) -> int:
        """Return the number of upstreams last known as slow or failing."""
        return sum(view.is_degraded for view in self.views.values())

    def count_users(self, zone: str) -> int:
        """Return the number of entries that commonly use the upstreams of a zone.

        An entry of another zone uses them only when its own are too few, as others may
        do at the same time; it counts all entries of the mesh.
        """
        if zone == self.zones.zone:
            return max(1, self.n_entries_by_zone.get(zone, 1))
        return max(1, sum(self.n_entries_by_zone.values()))

    def choose(
        self,
        *,
        route: TrafficRoute,
        upstreams: tuple[Upstream, ...],
        excluded: frozenset[str],
        due_at: float,
        deadline: float,
        now: float,
        body_size: int = 0,
    ) -> UpstreamView | None:
        """Return one of the upstreams with the highest expected utility.

        Parameters
        ----------
        route : TrafficRoute
            Route of the request.
        upstreams : tuple of Upstream
            Candidates.
        excluded : frozenset of str
            Identifiers of upstreams that are not eligible.
        due_at, deadline, now : float
            Monotonic times after which a response is late, at which the caller stops
            waiting, and of the call, in seconds.
        body_size : int, default=0
            Size of the body of the request, in bytes.

        Returns
        -------
        UpstreamView or None
            None if all upstreams are excluded or replaced.
        """
        groups = self.zones.divide(upstreams)
        if self.spill.is_enabled and len(groups) > 1:
            groups = self.open_zone(groups, route, body_size, now)
        can_queue_remotely = not self.has_upstream_in_region(upstreams)
        available_s = due_at - now if due_at > now else deadline - now
        best = float("-inf")
        estimates: list[tuple[float, UpstreamView]] = []
        for group in groups:
            round_trip_share = min(1.0, 2 * group.delay_s / max(available_s, 1e-3))
            highest = 1.0 - group.cost - LATENCY_COST * round_trip_share
            if highest <= best - NEAR_EQUAL_UTILITY:
                break
            for upstream in self.sample(group):
                if upstream.upstream_id in excluded:
                    continue
                view = self.get_view(upstream, now)
                if view.replaced_until > now:
                    continue
                utility = self.estimate_utility(
                    view, group, route, due_at, deadline, now, can_queue_remotely
                )
                best = max(best, utility)
                estimates.append((utility, view))
        return self.draw_near_best(estimates, now)

    def open_zone(
        self,
        groups: tuple[ZoneGroup, ...],
        route: TrafficRoute,
        body_size: int,
        now: float,
    ) -> tuple[ZoneGroup, ...]:
        """Return the candidates with another zone at its price, if one is drawn."""
        home = groups[0]
        service = home.upstreams[0].service
        drawn = self.spill.draw_zone(service, route, groups, body_size, now)
        if drawn is None:
            return groups
        price = self.spill.get_price(drawn, body_size)
        opened = replace(drawn, cost=home.cost + price, can_queue=True)
        if self.spill.is_reserved(service, home.zone, route):
            home = replace(home, wait_weight=RESERVED_WEIGHT)
        others = (group for group in groups[1:] if group is not drawn)
        return (home, opened, *others)

    def draw_near_best(
        self, estimates: list[tuple[float, UpstreamView]], now: float
    ) -> UpstreamView | None:
        """Draw one of the upstreams whose utility is close to the highest one.

        The probability grows with the utility and the capacity of the upstream.
        """
        if not estimates:
            return None
        lowest = max(utility for utility, _ in estimates) - NEAR_EQUAL_UTILITY
        near = [(utility, view) for utility, view in estimates if utility > lowest]
        if len(near) == 1:
            chosen = near[0][1]
        else:
            weights = [
                (utility - lowest) * view.n_slots / view.speed_ratio
                for utility, view in near
            ]
            chosen = self.random_source.choices(near, weights)[0][1]
        if chosen.is_cold(now):
            chosen.n_saved_permits = max(0.0, chosen.n_saved_permits - 1.0)
        return chosen

    def sample(self, group: ZoneGroup) -> tuple[Upstream, ...]:
        """Return all upstreams of this node's zone, or some of another one."""
        members = group.upstreams
        n_members = len(members)
        if group.zone == self.zones.zone or n_members <= MAX_SAMPLED:
            return members
        start = int(n_members * self.random_source.random())
        sampled = members[start : start + MAX_SAMPLED]
        return sampled + members[: MAX_SAMPLED - len(sampled)]

    def estimate_utility(
        self,
        view: UpstreamView,
        group: ZoneGroup,
        route: TrafficRoute,
        due_at: float,
        deadline: float,
        now: float,
        can_queue_remotely: bool = False,
    ) -> float:
        """Return the expected utility of a response, less the cost of the call."""
        if view.unreachable_until > now:
            return -1.0
        if not (can_queue_remotely or group.is_in_region or group.can_queue):
            if not view.has_free_slot(now):
                return -group.cost
        wait_s = view.estimate_wait(now)
        served_s = 2 * group.delay_s + self.estimate_run_time(view, route.name, now)
        utility = compute_utility(
            now + served_s + wait_s, now=now, due_at=due_at, deadline=deadline
        )
        failure_ratio = view.estimate_failure_ratio(now)
        if failure_ratio:
            utility *= 1.0 - failure_ratio
        available_s = due_at - now if due_at > now else deadline - now
        weighted_s = served_s + WAIT_WEIGHT * group.wait_weight * wait_s
        if weighted_s < available_s:
            utility -= LATENCY_COST * weighted_s / available_s
        else:
            utility -= LATENCY_COST
        utility -= group.cost
        if self.cold_rates and not self.has_permit(view, now):
            utility -= NO_PERMIT_COST
        return utility

    def has_permit(self, view: UpstreamView, now: float) -> bool:
        """Return whether an upstream is warm or may get a request of this entry."""
        rate_per_s = self.cold_rates.get(view.upstream.service, 0.0)
        if not rate_per_s or not view.is_cold(now):
            return True
        share = COLD_RATE_SHARE / self.count_users(view.upstream.zone)
        return view.has_cold_permit(rate_per_s * share, self.random_source, now)

    def find_mean_run_time(self, route: str) -> float | None:
        """Return the mean run time of a route at an upstream of ratio 1, in seconds."""
        return self.route_run_times_s.get(route)

    def get_mean_run_time(self, route: str) -> float:
        """Return the mean run time of a route's requests, in seconds."""
        return self.route_run_times_s.get(route, INITIAL_RUN_TIME_S)

    def estimate_run_time(self, view: UpstreamView, route: str, now: float) -> float:
        """Return the expected run time of a request at an upstream, in seconds."""
        mean_s = self.get_mean_run_time(route) * view.speed_ratio
        return mean_s * view.estimate_slowdown(now)

    def list_cold(self, upstreams: tuple[Upstream, ...], now: float) -> frozenset[str]:
        """Return the identifiers of those upstreams that are cold."""
        return frozenset(
            upstream.upstream_id
            for upstream in upstreams
            if self.get_view(upstream, now).is_cold(now)
        )

    def has_free_slot(self, view: UpstreamView, now: float) -> bool:
        """Return whether an upstream is reachable and likely to have a free slot."""
        return view.has_free_slot(now)

    def has_upstream_in_region(self, upstreams: tuple[Upstream, ...]) -> bool:
        """Return whether one of the upstreams is in this node's region.

        Requests queue in another region only if none is. Otherwise two overloaded
        regions would send each other the requests of their queues.
        """
        return any(group.is_in_region for group in self.zones.divide(upstreams))

    def can_queue(
        self,
        view: UpstreamView,
        upstreams: tuple[Upstream, ...],
        n_refused: int,
        now: float,
    ) -> bool:
        """Return whether a request may queue for a slot of one of the candidates.

        Parameters
        ----------
        view : UpstreamView
            State of the upstream.
        upstreams : tuple of Upstream
            Candidates.
        n_refused : int
            Upstreams that have refused the request.
        now : float
            Monotonic time, in seconds.
        """
        upstream = view.upstream
        if self.zones.is_in_region(upstream.zone) or self.spill.may_queue(view, now):
            return n_refused >= MAX_REFUSALS or not self.has_other_free_slot(
                view, upstreams, now
            )
        return not self.has_upstream_in_region(upstreams)

    def has_other_free_slot(
        self, view: UpstreamView, upstreams: tuple[Upstream, ...], now: float
    ) -> bool:
        """Return whether another upstream of the same zone may have a free slot."""
        for group in self.zones.divide(upstreams):
            if group.zone != view.upstream.zone:
                continue
            for upstream in group.upstreams:
                if upstream.upstream_id != view.upstream.upstream_id:
                    other = self.get_view(upstream, now)
                    if other.has_free_slot(now) and not other.is_degraded:
                        return True
        return False

    def record_sent(self, view: UpstreamView) -> None:
        """Count a request that was sent to an upstream."""
        view.n_in_flight += 1
        view.n_sent_since_report += 1
        is_in_region = self.zones.is_in_region(view.upstream.zone)
        self.spill.count_sent(view, self.zones.zone, is_in_region)

    def record_finished(self, view: UpstreamView) -> None:
        """Count a request that has ended, with or without a response."""
        view.n_in_flight -= 1

    def record_report(
        self, view: UpstreamView, report: LoadReport | None, now: float
    ) -> None:
        """Store a load report; None leaves the previous one in place."""
        if report is None:
            return
        n_users = self.count_users(view.upstream.zone)
        view.record_report(report, n_users, self.random_source, now)
        self.spill.record_report(view, now)

    def record_local(self, upstream: Upstream, report: LoadReport, now: float) -> None:
        """Store the present load of the upstream on this host.

        Unlike a report in a reply, it is exact at the time of the choice.
        """
        self.record_report(self.get_view(upstream, now), report, now)

    def record_run(
        self, view: UpstreamView, route: str, run_time_s: float, now: float
    ) -> None:
        """Update run times and the failure ratio after a response of the upstream.

        The mean of the route leaves out upstreams that are cold or degraded.
        """
        self.record_upstream_run_time(view, route, run_time_s, now)
        is_usual = view.report is None or not view.report.is_degraded
        if is_usual and not view.is_cold(now):
            sample_s = run_time_s / view.speed_ratio
            mean_s = self.route_run_times_s.get(route, sample_s)
            sample_s = min(sample_s, MAX_ROUTE_SAMPLE * mean_s)
            n_samples = self.n_route_samples.get(route, 0) + 1
            self.n_route_samples[route] = n_samples
            gain = max(ROUTE_GAIN, 1.0 / n_samples)
            self.route_run_times_s[route] = mean_s + gain * (sample_s - mean_s)
        view.record_success()

    def record_upstream_run_time(
        self, view: UpstreamView, route: str, run_time_s: float, now: float
    ) -> None:
        """Update the run time of the upstream, but not that of the route."""
        expected_s = self.route_run_times_s.get(route)
        if expected_s:
            view.record_run_time(run_time_s, expected_s * view.speed_ratio, now)

    def record_failure(self, view: UpstreamView, now: float) -> None:
        """Update the failure ratio after a request that failed or was refused."""
        view.record_failure(now)

    def record_unreachable(self, view: UpstreamView, now: float) -> None:
        """Record that the node on the host of an upstream cannot be reached."""
        view.unreachable_until = now + UNREACHABLE_S

    def record_replaced(self, view: UpstreamView, now: float) -> None:
        """Record that another upstream responded at the address of an upstream."""
        view.replaced_until = now + REPLACED_S
