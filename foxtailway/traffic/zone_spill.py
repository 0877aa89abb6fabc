"""Shares of the requests of a zone that may run in other zones."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import exp, sqrt
from random import Random

from foxtailway.traffic.configuration import TrafficConfiguration, TrafficRoute
from foxtailway.traffic.upstream_view import VARIANCE_FACTOR, UpstreamView
from foxtailway.traffic.zone_groups import ZoneGroup

__all__ = ["ZoneLoad", "ZoneSpill", "ZoneSpillSettings"]

# Interval at which the shares of a service are updated.
UPDATE_INTERVAL_S = 0.1
# Difference of the expected waits from which a share grows, and below which it shrinks,
# in run times. In between it stays, so that noise does not move it.
START_GAIN = 0.6
STOP_GAIN = 0.3
# Expected wait up to which a request may queue in another region, in run times. With
# longer ones, two regions that are both full serve fewer requests in time.
MAX_REMOTE_WAIT = 0.8
# Change of a share per second. Demand that differs by half moves to other zones within
# a second, and the wait reported by a zone follows its load with about two seconds.
RAMP_PER_S = 0.5
# Longest time that counts as one step of a ramp; an entry without requests for longer
# continues with the share that it had.
MAX_STEP_S = 0.5
# Time that counts as the first step of a ramp. Entries that have just started, all at
# once, have not observed the waits for longer.
FIRST_STEP_S = 0.1
# Least limit of a share, so that an entry learns that a zone has capacity again.
MIN_LIMIT = 0.1
# Share of the slots of another zone that may be filled from outside.
FILL_SHARE = 0.75
# Largest part of the requests that may run in other zones.
MAX_TOTAL = 0.9
# Factor of the expected wait in a region to which requests of some routes are limited,
# for requests that may run elsewhere. They leave at a load of about 0.7.
RESERVED_WEIGHT = 3.0
# Age of the last report of a zone from which its wait approaches the assumed one, and
# the time constant.
NEWS_HOLD_S = 1.0
NEWS_DECAY_S = 1.0
# Wait assumed without news, in run times: that at about 0.65 of the capacity.
ASSUMED_WAIT = 0.25
# Body above which a request does not leave its zone for a shorter wait, in bytes.
MAX_BODY_SIZE = 16_384
# Response size assumed in the price of a call, in bytes.
RESPONSE_SIZE = 5_000
# Steps of a share that are reported, as parts of all requests.
REPORTED_STEP = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneSpillSettings:
    """Settings of the spill-over between zones.

    Parameters
    ----------
    mode : str, default="on"
        "on", "off", or "auto": if a route is limited to regions or a service has a
        limit of cold upstreams.
    near_price, far_price : float
        Utility lost per kilobyte between zones of a region, and between regions.
    """

    mode: str = "on"
    near_price: float = 0.00004
    far_price: float = 0.00011


@dataclass(slots=True, kw_only=True)
class ZoneLoad:
    """Sums over the upstreams of one service and zone that have reported."""

    n_upstreams: int = 0
    n_slots: float = 0.0
    n_busy: float = 0.0
    run_time_sum_s: float = 0.0
    news_at: float = float("-inf")

    @property
    def run_time_s(self) -> float:
        """Mean run time, in seconds; 0 without reports."""
        return self.run_time_sum_s / self.n_upstreams if self.n_upstreams else 0.0

    def add(self, part: tuple[float, float, float], sign: int) -> None:
        """Add or subtract slots, requests and run time in seconds of an upstream."""
        self.n_upstreams += sign
        self.n_slots += sign * part[0]
        self.n_busy += sign * part[1]
        self.run_time_sum_s += sign * part[2]

    def estimate_wait(self, now: float) -> float:
        """Return the expected wait in run times; it is assumed without recent news."""
        if not self.n_upstreams or self.n_slots < 0.5:
            return ASSUMED_WAIT
        n_slots = self.n_slots / self.n_upstreams
        n_busy = max(0.0, self.n_busy / self.n_upstreams)
        n_ahead = n_busy - n_slots + 1.0
        n_ahead = (n_ahead + sqrt(n_ahead * n_ahead + VARIANCE_FACTOR * n_busy)) / 2
        age_s = max(0.0, now - self.news_at - NEWS_HOLD_S)
        wait = n_ahead / n_slots
        return ASSUMED_WAIT + (wait - ASSUMED_WAIT) * exp(-age_s / NEWS_DECAY_S)


@dataclass(slots=True, kw_only=True)
class SpillShares:
    """Shares by zone of requests that may run in the same regions."""

    updated_at: float = float("-inf")
    by_zone: dict[str, float] = field(default_factory=dict)


class ZoneSpill:
    """Spill-over to zones whose expected wait is clearly shorter.

    Parameters
    ----------
    random_source : Random
        Draws the requests that may leave.

    Attributes
    ----------
    settings : ZoneSpillSettings
        Prices and mode.
    is_enabled : bool
        Whether requests may leave.
    sent : Counter of tuple of str
        Requests sent, by service, zone, path ("kept", "near", "far") and reason
        ("share" if the zone has a share, else "utility").
    on_change : callable
        Called with service, zone, previous and new share, and the waits at home and in
        the zone in run times, when a share starts, changes by a step or ends.
    """

    def __init__(self, *, random_source: Random) -> None:
        self.random_source = random_source
        self.settings = ZoneSpillSettings()
        self.is_enabled = False
        self.is_needed = False
        self.zone_regions: dict[str, str] = {}
        self.reserved: dict[str, frozenset[str]] = {}
        self.loads: dict[tuple[str, str], ZoneLoad] = {}
        self.parts: dict[str, tuple[ZoneLoad, tuple[float, float, float]]] = {}
        self.shares: dict[tuple[str, tuple[str, ...]], SpillShares] = {}
        self.reported: dict[tuple[str, tuple[str, ...], str], float] = {}
        self.sent: Counter[tuple[str, str, str, str]] = Counter()
        self.on_change: Callable[..., None] = lambda **fields: None

    def apply_settings(
        self, settings: ZoneSpillSettings, zone_regions: dict[str, str]
    ) -> None:
        """Apply changed settings and regions."""
        self.settings = settings
        self.zone_regions = zone_regions
        self.update_enabled()

    def apply_configuration(self, configuration: TrafficConfiguration) -> None:
        """Learn which routes of a service are limited to regions."""
        reserved: dict[str, set[str]] = {}
        for route in configuration.routes:
            for destination in route.destinations:
                if route.allowed_regions:
                    regions = reserved.setdefault(destination.service, set())
                    regions.update(route.allowed_regions)
        self.reserved = {name: frozenset(regions) for name, regions in reserved.items()}
        self.is_needed = bool(reserved) or any(
            service.cold_rate_per_s > 0.0 for service in configuration.services
        )
        limits = {route.allowed_regions for route in configuration.routes}
        self.shares = {
            key: shares for key, shares in self.shares.items() if key[1] in limits
        }
        self.update_enabled()

    def update_enabled(self) -> None:
        """Apply the mode; shares end at once when spill-over is turned off."""
        mode = self.settings.mode
        self.is_enabled = mode == "on" or (mode == "auto" and self.is_needed)
        if not self.is_enabled:
            self.shares.clear()

    def record_report(self, view: UpstreamView, now: float) -> None:
        """Update the sums of a zone after a report; cold upstreams have no slots."""
        if not self.is_enabled or view.report is None:
            return
        upstream = view.upstream
        self.forget(upstream.upstream_id)
        if view.is_cold(now):
            return
        load = self.loads.setdefault((upstream.service, upstream.zone), ZoneLoad())
        n_slots = view.n_slots
        part = (n_slots, view.usual_load * n_slots, view.mean_run_time_s)
        load.add(part, 1)
        load.news_at = now
        self.parts[upstream.upstream_id] = (load, part)

    def forget(self, upstream_id: str) -> None:
        """Remove an upstream from the sums of its zone."""
        kept = self.parts.pop(upstream_id, None)
        if kept is not None:
            kept[0].add(kept[1], -1)

    def retain(self, upstream_ids: Iterable[str]) -> None:
        """Remove all upstreams that are not among the given ones."""
        for upstream_id in self.parts.keys() - set(upstream_ids):
            self.forget(upstream_id)

    def is_reserved(self, service: str, zone: str, route: TrafficRoute) -> bool:
        """Return whether others than this route's requests need the region of a zone.

        Requests that may run in all regions make room for those that may not.
        """
        if route.allowed_regions:
            return False
        return self.zone_regions.get(zone) in self.reserved.get(service, ())

    def draw_zone(
        self,
        service: str,
        route: TrafficRoute,
        groups: tuple[ZoneGroup, ...],
        body_size: int,
        now: float,
    ) -> ZoneGroup | None:
        """Return another zone in which a request may run, or None.

        Parameters
        ----------
        service : str
            Service of the upstreams.
        route : TrafficRoute
            Route of the request.
        groups : tuple of ZoneGroup
            Candidates by zone, the home of the request first.
        body_size : int
            Size of its body, in bytes.
        now : float
            Monotonic time, in seconds.
        """
        if not self.is_enabled or len(groups) < 2 or body_size > MAX_BODY_SIZE:
            return None
        key = (service, route.allowed_regions)
        shares = self.shares.get(key)
        if shares is None:
            shares = self.shares.setdefault(key, SpillShares())
        if now - shares.updated_at >= UPDATE_INTERVAL_S:
            self.update(service, route, shares, groups, now)
        if not shares.by_zone:
            return None
        threshold = self.random_source.random()
        for group in groups[1:]:
            threshold -= shares.by_zone.get(group.zone, 0.0)
            if threshold < 0.0:
                return group
        return None

    def update(
        self,
        service: str,
        route: TrafficRoute,
        shares: SpillShares,
        groups: tuple[ZoneGroup, ...],
        now: float,
    ) -> None:
        """Move the shares towards zones with a clearly shorter wait."""
        elapsed_s = min(now - shares.updated_at, MAX_STEP_S)
        step = RAMP_PER_S * elapsed_s if shares.by_zone else RAMP_PER_S * FIRST_STEP_S
        shares.updated_at = now
        home = self.loads.get((service, groups[0].zone), ZoneLoad())
        run_time_s = home.run_time_s
        home_wait = home.estimate_wait(now)
        is_reserved = self.is_reserved(service, groups[0].zone, route)
        if is_reserved:
            home_wait *= RESERVED_WEIGHT
        total = 0.0
        by_zone: dict[str, float] = {}
        for group in groups[1:]:
            load = self.loads.get((service, group.zone), ZoneLoad())
            wait = load.estimate_wait(now)
            if self.is_reserved(service, group.zone, route):
                wait *= RESERVED_WEIGHT
            gain = home_wait - wait
            if not is_reserved and run_time_s:
                gain -= 2 * group.delay_s / run_time_s
            previous = shares.by_zone.get(group.zone, 0.0)
            share = previous
            if gain > START_GAIN and run_time_s:
                share += step
            elif gain < STOP_GAIN:
                share -= step
            spare = FILL_SHARE * load.n_slots - load.n_busy
            limit = max(MIN_LIMIT, spare / max(1.0, home.n_busy))
            share = min(share, max(limit, previous - step), MAX_TOTAL - total)
            if share > 0.0:
                by_zone[group.zone] = share
                total += share
            self.report_change(service, route, group.zone, share, home_wait, wait)
        shares.by_zone = by_zone

    def report_change(
        self,
        service: str,
        route: TrafficRoute,
        zone: str,
        share: float,
        home_wait: float,
        wait: float,
    ) -> None:
        """Report a share that starts, has changed by a step, or ends."""
        key = (service, route.allowed_regions, zone)
        share = max(0.0, share)
        previous = self.reported.get(key, 0.0)
        if share == previous:
            return
        is_edge = share == 0.0 or previous == 0.0
        if not is_edge and abs(share - previous) < REPORTED_STEP:
            return
        self.reported[key] = share
        self.on_change(
            service=service,
            zone=zone,
            previous=round(previous, 3),
            share=round(share, 3),
            home_wait=round(home_wait, 3),
            wait=round(wait, 3),
        )

    def may_queue(self, view: UpstreamView, now: float) -> bool:
        """Return whether requests may queue at an upstream of another region.

        Its zone has a share, and the wait is short.
        """
        longest_s = MAX_REMOTE_WAIT * view.mean_run_time_s
        return (
            self.has_share(view.upstream.service, view.upstream.zone)
            and view.estimate_wait(now) <= longest_s
        )

    def has_share(self, service: str, zone: str) -> bool:
        """Return whether requests to a service may run in another zone."""
        return any(
            key[0] == service and zone in shares.by_zone
            for key, shares in self.shares.items()
        )

    def count_shares(self) -> int:
        """Return the number of shares in force."""
        return sum(len(shares.by_zone) for shares in self.shares.values())

    def count_sent(self, view: UpstreamView, home: str, is_in_region: bool) -> None:
        """Count a request that is sent from the zone `home`."""
        service, zone = view.upstream.service, view.upstream.zone
        path = "kept" if zone == home else "near" if is_in_region else "far"
        reason = "utility"
        if path != "kept" and self.has_share(service, zone):
            reason = "share"
        self.sent[service, zone, path, reason] += 1

    def get_price(self, group: ZoneGroup, body_size: int) -> float:
        """Return the price of a call to another zone as lost utility."""
        settings = self.settings
        price = settings.near_price if group.is_in_region else settings.far_price
        return price * (RESPONSE_SIZE + body_size) / 1_000
