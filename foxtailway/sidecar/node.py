"""Assembly, start and stop of one sidecar."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random
from typing import Any

from foxtailway.common.clock import MonotonicClock
from foxtailway.sidecar.attempt_sender import AttemptSender
from foxtailway.sidecar.call_recognizer import CallRecognizer
from foxtailway.sidecar.cold_start_monitor import ColdStartMonitor
from foxtailway.sidecar.crash_detector import UpstreamCrash
from foxtailway.sidecar.crash_exchange import CrashExchange
from foxtailway.sidecar.crash_guard import CrashGuard
from foxtailway.sidecar.dispatcher import RequestDispatcher
from foxtailway.sidecar.gauges import read_gauges
from foxtailway.sidecar.http_listener import HttpListener
from foxtailway.sidecar.http_message import HeaderNames
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import MemoryAccount, read_resident_size
from foxtailway.sidecar.metrics import MetricsHandler, SidecarMetrics
from foxtailway.sidecar.peer_listener import PeerListener
from foxtailway.sidecar.peer_message import PeerCrash, PeerListingRequest
from foxtailway.sidecar.peer_pool import PeerPool
from foxtailway.sidecar.peer_stream import make_peer_codec
from foxtailway.sidecar.readiness import ReadinessHandler
from foxtailway.sidecar.settings import Endpoint, SidecarSettings
from foxtailway.sidecar.update_exchange import UpdateExchange
from foxtailway.sidecar.upstream_pool import UpstreamPool
from foxtailway.sidecar.upstream_runner import UpstreamRunner
from foxtailway.traffic.configuration import TrafficConfiguration
from foxtailway.traffic.contended_slot_queue import ContendedSlotQueue
from foxtailway.traffic.membership import Membership
from foxtailway.traffic.reader_roles import (
    ANNOUNCE_INTERVAL_S,
    ReaderRoles,
    ReaderTimings,
)
from foxtailway.traffic.registry_access import RegistryAccess
from foxtailway.traffic.selection import UpstreamSelector
from foxtailway.traffic.slot_queue import SlotQueue
from foxtailway.transport.response_limits import BufferBudget, ResponseLimits

__all__ = ["SidecarNode", "StopTimes", "wait_until_idle"]

# Interval of the periodic tasks in `SidecarNode.tick`.
TICK_INTERVAL_S = 0.1
# Interval at which a stopping node checks whether requests are in flight.
IDLE_POLL_INTERVAL_S = 0.02
# Least time between log lines about what was refused for lack of memory or descriptors.
RESOURCES_LOG_INTERVAL_S = 1.0
# Age of the last confirmation at which this node may lack a change that has to be in
# force, as a share of the time to apply. The rest covers the transit of an update.
UP_TO_DATE_SHARE = 0.8
# Part of the time of a shutdown that is reserved for the requests of the connections
# that were accepted last.
LAST_REQUESTS_S = 0.5
# Time after the end of a shutdown for requests at their deadline. The process is killed
# later.
LAST_RESULTS_S = 0.1
# Time after that for the answers to requests without a result.
LAST_ANSWERS_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTimes:
    """Times of the steps of a graceful shutdown, in seconds after its start.

    Parameters
    ----------
    go_away_s : float
        When a go-away is sent to the peers.
    close_idle_s : float
        When idle client connections are closed.
    end_s : float
        When the process ends even if requests are in flight.
    """

    go_away_s: float = 2.0
    close_idle_s: float = 2.6
    end_s: float = 5.6


class SidecarNode:
    """One sidecar: creates its components, starts and stops them in order.

    Parameters
    ----------
    settings : SidecarSettings
        Settings of the sidecar.
    names : HeaderNames
        Names of the headers that the mesh interprets.
    ready_path : str
        Path of the readiness check.
    log : EventLog
        Event log.
    random_source : Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        names: HeaderNames,
        ready_path: str,
        log: EventLog,
        random_source: Random,
    ) -> None:
        self.settings = settings
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.exit_stack = AsyncExitStack()
        self.is_stopping = False
        self.is_reader = False
        self.announced_at = float("-inf")
        self.resources_logged_at = float("-inf")
        self.membership = Membership()
        self.access = RegistryAccess(heartbeat_s=settings.heartbeat_s)
        self.roles = ReaderRoles(
            address=settings.upstream.address,
            capacity=settings.capacity,
            timings=ReaderTimings(apply_s=settings.apply_s),
        )
        codec = make_peer_codec()
        limits = settings.account_limits
        self.account = MemoryAccount(limits=limits)
        self.selector = UpstreamSelector(
            zone=settings.zone,
            zone_regions=settings.zone_regions,
            random_source=random_source,
        )
        self.selector.spill.apply_settings(settings.zone_spill, settings.zone_regions)
        self.selector.spill.on_change = self.log_spill
        self.guard = CrashGuard(host_id=settings.host_id, clock=MonotonicClock())
        self.peers = PeerPool(
            port=settings.peer_listener.port,
            codec=codec,
            on_crash=self.handle_crash,
            list_crashes=self.list_crashes,
            on_listing_request=self.handle_listing_request,
            log=log,
            account=self.account,
        )
        self.exchange = UpdateExchange(
            address=settings.upstream.address,
            membership=self.membership,
            access=self.access,
            roles=self.roles,
            peers=self.peers,
            apply=self.apply,
            on_membership_change=self.membership_changed,
            log=log,
        )
        pool = UpstreamPool(
            address=settings.upstream.address,
            port=settings.upstream.port,
            request_id_header=names.request_id,
            limits=ResponseLimits(max_body_size=settings.max_response_size),
            budget=BufferBudget(
                max_size=settings.max_buffered_size,
                try_hold=self.account.try_hold,
                hold=self.account.hold,
            ),
        )
        self.cold_starts = ColdStartMonitor(
            pool=pool,
            names=names,
            membership=self.membership,
            log=log,
            zone=settings.zone,
            overage=settings.cold_overage,
            slack=settings.cold_slack,
        )
        self.runner = UpstreamRunner(
            names=names,
            pool=pool,
            cold_starts=self.cold_starts,
            queue_type=ContendedSlotQueue if settings.is_urgent_first else SlotQueue,
            membership=self.membership,
            guard=self.guard,
            on_crash=self.report_crash,
            log=log,
            zone=settings.zone,
            find_mean_run_time=self.selector.find_mean_run_time,
        )
        queue = self.runner.queue
        self.calls = (
            CallRecognizer(running=self.runner.running, outcomes=queue.call_outcomes)
            if isinstance(queue, ContendedSlotQueue)
            else None
        )
        self.peer_listener = PeerListener(
            runner=self.runner,
            codec=codec,
            address=settings.peer_listener.address,
            link_mbps=settings.capacity.link_mbps,
            on_update=self.exchange.receive_update,
            on_reader_announcement=self.exchange.receive_announcement,
            on_listing_request=self.handle_listing_request,
            on_crash=self.handle_crash,
            list_crashes=self.list_crashes,
            log=log,
            account=self.account,
        )
        self.crashes = CrashExchange(
            guard=self.guard,
            roles=self.roles,
            send_to_connected=self.peer_listener.broadcast,
            send_to_hosts=self.peers.broadcast,
            read_time=self.loop.time,
            log=log,
        )
        self.metrics = SidecarMetrics(
            read_gauges=lambda: read_gauges(self),
            zone_requests=self.selector.spill.sent,
        )
        self.dispatcher = RequestDispatcher(
            names=names,
            service=settings.service,
            sender=AttemptSender(
                address=settings.upstream.address,
                membership=self.membership,
                selector=self.selector,
                peers=self.peers,
                runner=self.runner,
                guard=self.guard,
                log=log,
            ),
            guard=self.guard,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
            is_up_to_date=self.is_up_to_date,
            metrics=self.metrics,
            log=log,
            random_source=random_source,
            calls=self.calls,
        )
        self.client_listener = HttpListener(
            handler=self.dispatcher,
            names=names,
            log=log,
            account=self.account,
            max_n_connections=limits.max_n_clients,
        )
        self.ready_listener = HttpListener(
            handler=ReadinessHandler(path=ready_path, is_ready=self.is_ready),
            names=names,
            log=log,
            max_n_connections=limits.max_n_checks,
        )
        self.metrics_listener = HttpListener(
            handler=MetricsHandler(metrics=self.metrics),
            names=names,
            log=log,
            max_n_connections=limits.max_n_checks,
        )

    async def start(self, *, metrics_endpoint: Endpoint | None = None) -> None:
        """Listen on all ports; raise `OSError` if one is unavailable.

        Parameters
        ----------
        metrics_endpoint : Endpoint or None, default=None
            Endpoint on which metrics are served; None for none.
        """
        settings = self.settings
        self.loop.set_exception_handler(self.handle_loop_error)
        self.exit_stack.callback(self.runner.close)
        self.exit_stack.callback(self.peers.close)
        await self.peer_listener.listen(port=settings.peer_listener.port)
        self.exit_stack.callback(self.peer_listener.close)
        for listener, endpoint in (
            (self.client_listener, settings.client_listener),
            (self.ready_listener, settings.ready_listener),
            (self.metrics_listener, metrics_endpoint),
        ):
            if endpoint is None:
                continue
            await listener.listen(address=endpoint.address, port=endpoint.port)
            self.exit_stack.callback(listener.close)
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedule the next call of `tick`."""
        self.tick_timer = self.loop.call_later(TICK_INTERVAL_S, self.tick)

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error that no task or callback has handled."""
        message = context["message"]
        error = context.get("exception") or RuntimeError(message)
        self.log.write_error("event loop", error, detail=message)

    def tick(self) -> None:
        """Remove expired upstreams, log role changes and announce this reader.

        The next call is scheduled first, so that an error does not end the calls.
        """
        self.schedule_tick()
        now = self.loop.time()
        self.check_resources(now)
        self.exchange.remove_expired()
        self.crashes.send_answers()
        if self.roles.is_reader(now) != self.is_reader:
            self.is_reader = not self.is_reader
            # The readers of other regions need to know a new reader at once.
            self.announced_at = float("-inf")
            self.log.write(
                "reader_changed", is_reader=self.is_reader, rank=self.roles.rank
            )
        if now - self.announced_at >= ANNOUNCE_INTERVAL_S:
            self.announced_at = now
            self.exchange.announce_reader()

    def check_resources(self, now: float) -> None:
        """Measure the memory and log what was refused, at most once a second."""
        self.account.check(now, read_resident_size())
        if now - self.resources_logged_at < RESOURCES_LOG_INTERVAL_S:
            return
        events = self.account.take_unlogged()
        if events is not None:
            self.resources_logged_at = now
            self.log.write(
                "resources_short",
                n_refused=events.n_refused,
                n_evicted=events.n_evicted,
                n_dropped=events.n_dropped,
                n_closed=events.n_closed,
                n_held_bytes=self.account.n_held,
                n_bytes=self.account.size,
            )

    def is_ready(self) -> bool:
        """Return whether new requests are accepted."""
        return not self.is_stopping and self.dispatcher.configuration is not None

    def is_up_to_date(self) -> bool:
        """Return whether all changes that must be in force now are known."""
        age_s = self.loop.time() - self.exchange.up_to_date_at
        return age_s < UP_TO_DATE_SHARE * self.settings.apply_s

    def apply(self, configuration: TrafficConfiguration) -> None:
        """Apply a configuration to new requests."""
        self.dispatcher.apply(configuration)
        self.selector.apply_services(configuration.services)
        self.selector.spill.apply_configuration(configuration)
        self.client_listener.limits = configuration.limits
        self.cold_starts.apply_service(configuration.get_service(self.settings.service))
        self.log.write(
            "configuration_applied",
            version=configuration.version,
            n_routes=len(configuration.routes),
        )

    def log_spill(self, **fields: object) -> None:
        """Log that the share of a zone starts, changes or ends."""
        self.log.write("zone_spill_changed", **fields)

    def report_crash(self, crash: UpstreamCrash) -> None:
        """Report a crash of the local upstream."""
        self.crashes.report(crash)

    def handle_crash(self, notice: PeerCrash) -> None:
        """Apply the crash notice of a peer."""
        self.crashes.receive(notice)

    def list_crashes(self) -> list[PeerCrash]:
        """Return the crash notices for a new stream."""
        return self.crashes.list_recent()

    def reconfigure(self, settings: SidecarSettings) -> None:
        """Apply changed settings; listeners keep their addresses until a restart."""
        self.settings = settings
        limits = settings.account_limits
        self.account.apply_limits(limits)
        self.client_listener.table.max_n_connections = limits.max_n_clients
        self.roles.capacity = settings.capacity
        self.peer_listener.bodies.queue.link_mbps = settings.capacity.link_mbps
        self.roles.timings = ReaderTimings(apply_s=settings.apply_s)
        self.access.heartbeat_s = settings.heartbeat_s
        self.runner.pool.apply_limits(
            max_body_size=settings.max_response_size,
            max_buffered_size=settings.max_buffered_size,
        )
        self.runner.zone = settings.zone
        self.cold_starts.zone = settings.zone
        self.cold_starts.limiter.apply_bounds(
            overage=settings.cold_overage, slack=settings.cold_slack
        )
        configuration = self.dispatcher.configuration
        if configuration is not None:
            service = configuration.get_service(settings.service)
            self.cold_starts.apply_service(service)
        self.membership_changed()
        self.selector.apply_zones(settings.zone, settings.zone_regions)
        self.selector.spill.apply_settings(settings.zone_spill, settings.zone_regions)
        self.dispatcher.reconfigure(
            service=settings.service,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
        )

    def handle_listing_request(self, request: PeerListingRequest) -> None:
        """Send a listing to a sidecar that requested one, unless stopping."""
        if not self.is_stopping:
            self.exchange.receive_listing_request(request)

    def membership_changed(self) -> None:
        """Update the reader roles and discard the state of removed upstreams."""
        upstreams = self.membership.upstreams
        self.cold_starts.record_entries(self.settings.service)
        self.roles.update(
            upstreams.values(),
            self.settings.zone,
            self.settings.zone_regions,
            self.loop.time(),
        )
        self.selector.retain(frozenset(upstreams))
        self.selector.update_entries(upstreams.values())
        self.peers.retain(frozenset(item.address for item in upstreams.values()))

    async def stop(self, times: StopTimes) -> None:
        """Shut down gracefully; return when no request is in flight or at the end time.

        Requests that may take longer than the shutdown are refused from its start, so
        that their clients and peers use other nodes; none is cut off at the end.

        The readiness check fails at once, but requests are still accepted for a
        while, since clients and peers need time to notice. On a host whose upstream
        has left, the node serves clients until the end: it won't be started again,
        and clients use nodes that are not ready while many of a zone are stopped.
        """
        self.is_stopping = True
        ends_at = self.loop.time() + times.end_s
        self.dispatcher.ends_at = self.runner.ends_at = ends_at
        await asyncio.sleep(times.go_away_s)
        self.peer_listener.send_go_away()
        await asyncio.sleep(times.close_idle_s - times.go_away_s)
        self.client_listener.close_idle()
        self.runner.is_stopping = True
        await wait_until_idle(
            lambda: self.n_in_flight > 0 or not self.is_upstream_registered,
            ends_at - LAST_REQUESTS_S,
        )
        await self.client_listener.stop_accepting()
        await wait_until_idle(lambda: self.n_in_flight > 0, ends_at + LAST_RESULTS_S)
        n_unfinished = self.client_listener.n_active_connections
        if n_unfinished:
            self.log.write("requests_unfinished", n_requests=n_unfinished)
            self.client_listener.answer_all()
            await wait_until_idle(
                lambda: self.client_listener.n_active_connections > 0,
                self.loop.time() + LAST_ANSWERS_S,
            )
        self.tick_timer.cancel()
        await self.exit_stack.aclose()

    @property
    def is_upstream_registered(self) -> bool:
        """Whether the registry names an upstream on this host."""
        address = self.settings.upstream.address
        return any(
            upstream.address == address
            for upstream in self.membership.upstreams.values()
        )

    @property
    def n_in_flight(self) -> int:
        """Number of requests in progress, and of peers that read their results."""
        return (
            self.client_listener.n_active_connections
            + self.peer_listener.n_running
            + self.peer_listener.n_sending
        )


async def wait_until_idle(is_busy: Callable[[], bool], ends_at: float) -> None:
    """Wait until `is_busy` returns False, at most until `ends_at` (loop time)."""
    loop = asyncio.get_running_loop()
    while is_busy() and loop.time() < ends_at:  # noqa: ASYNC110 (no event)
        await asyncio.sleep(IDLE_POLL_INTERVAL_S)
