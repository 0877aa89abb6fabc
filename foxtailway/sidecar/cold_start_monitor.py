"""Observation of the starts of the upstream on the same host."""

import asyncio

from foxtailway.sidecar.http_exchange import (
    ExchangeError,
    ExchangeTimeoutError,
    ReceivedResponse,
)
from foxtailway.sidecar.http_message import HeaderNames, encode_request_head
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.upstream_pool import UpstreamPool
from foxtailway.traffic.cold_start import ColdStartLimiter
from foxtailway.traffic.configuration import ServiceSettings
from foxtailway.traffic.membership import Membership

__all__ = ["ColdStartMonitor"]

# Time within which a health check has to be answered. Until then, the upstream counts
# as cold.
HEALTH_TIMEOUT_S = 0.5


class ColdStartMonitor:
    """Collect evidence of starts of the upstream and ask it whether it is cold.

    Parameters
    ----------
    pool : UpstreamPool
        Connections to the upstream.
    names : HeaderNames
        Names of the headers that the mesh interprets.
    membership : Membership
        Known upstreams and evacuations.
    log : EventLog
        Event log.
    zone : str, default=""
        Availability zone of this host.
    overage, slack : float
        Bounds of the requests to a cold upstream; see `ColdStartLimiter`.

    Attributes
    ----------
    limiter : ColdStartLimiter
        Decides how many requests the upstream may get.
    n_health_checks : int
        Health checks that were sent.

    Notes
    -----
    A health check costs the upstream about a tenth of a request, so that one is sent
    after each evidence of a start and none periodically.
    """

    def __init__(
        self,
        *,
        pool: UpstreamPool,
        names: HeaderNames,
        membership: Membership,
        log: EventLog,
        zone: str = "",
        overage: float = 1.0,
        slack: float = 0.0,
    ) -> None:
        self.pool = pool
        self.names = names
        self.membership = membership
        self.log = log
        self.zone = zone
        self.loop = asyncio.get_running_loop()
        self.limiter = ColdStartLimiter(
            now=self.loop.time(), overage=overage, slack=slack
        )
        self.evacuation_ended_at = float("-inf")
        self.health_task: asyncio.Task | None = None
        self.n_health_checks = 0

    def apply_service(self, service: ServiceSettings) -> None:
        """Apply the configured properties of the service of the upstream."""
        self.limiter.apply_service(service, self.loop.time())
        self.update()

    def update(self) -> None:
        """Note the end of an evacuation, and start a health check if one is needed."""
        if not self.limiter.is_active:
            return
        ended_at = self.membership.evacuation_ended_at.get(self.zone, float("-inf"))
        if ended_at > self.evacuation_ended_at:
            self.evacuation_ended_at = ended_at
            self.limiter.record_start(ended_at)
            self.log_start("evacuation ended")
        self.start_health_check()

    def record_entries(self, service: str) -> None:
        """Note the registry entries of the upstream on this host."""
        now = self.loop.time()
        for upstream in self.membership.upstreams.values():
            if (
                upstream.address == self.pool.address
                and upstream.service == service
                and self.limiter.record_entry(upstream, now)
            ):
                self.log_start("registry entry")
        self.update()

    def record_connected(self) -> None:
        """Note that there is a connection to the upstream.

        The upstream has started if it accepted no connection before, or if all
        connections that were open at a time ended.
        """
        is_restart = self.pool.take_restart()
        now = self.loop.time()
        if self.limiter.record_connected(now):
            self.log_start("accepts connections")
        elif is_restart:
            self.limiter.record_start(now)
            self.log_start("all connections lost")
        self.update()

    def record_unreachable(self) -> None:
        """Note that the upstream accepts no connection."""
        self.limiter.record_unreachable()

    def record_replaced(self, previous_id: str | None, running_id: str | None) -> None:
        """Note which upstream responded in place of the expected one."""
        if running_id != previous_id:
            self.limiter.record_start(self.loop.time())
            self.log_start("another upstream")
            self.update()

    def log_start(self, evidence: str) -> None:
        """Log evidence of a start if the upstream has a limit."""
        if self.limiter.is_active:
            now = self.loop.time()
            self.log.write(
                "upstream_started",
                evidence=evidence,
                warm_in_s=round(self.limiter.get_warm_in(now), 3),
                limit=self.limiter.limit,
            )

    def start_health_check(self) -> None:
        """Start a health check if coldness is in doubt and none is in progress."""
        limiter = self.limiter
        if self.health_task is not None or limiter.service is None:
            return
        path = limiter.service.health_path
        if path and limiter.take_check(self.loop.time()):
            self.n_health_checks += 1
            self.health_task = self.loop.create_task(self.check_health(path))
            self.health_task.add_done_callback(self.end_health_check)

    def end_health_check(self, task: asyncio.Task) -> None:
        """Start the next health check if a start was seen during this one."""
        self.health_task = None
        if not task.cancelled():
            task.result()
            self.start_health_check()

    async def check_health(self, path: str) -> None:
        """Ask the upstream for how long it is cold."""
        try:
            connection = await self.pool.connect()
        except ExchangeError:
            self.record_unreachable()
            return
        if self.limiter.record_connected(self.loop.time()):
            self.limiter.needs_check = False
            self.log_start("accepts connections")
        asked_at = self.loop.time()
        timeout = ExchangeTimeoutError(
            step="receive", peer=connection.peer, detail="no response to a health check"
        )
        head = f"Host: {connection.peer}\r\n".encode("latin-1")
        exchange = connection.request(encode_request_head("GET", path, head, 0))
        timer = self.loop.call_later(
            HEALTH_TIMEOUT_S, connection.abort, exchange, timeout
        )
        try:
            received = await exchange
            remaining_s = read_remaining(received, self.names)
        except (ExchangeError, ValueError) as error:
            self.log.write("health_check_failed", error=error)
        else:
            is_used = self.limiter.record_health(
                remaining_s, asked_at, self.loop.time()
            )
            self.log.write("health_checked", remaining_s=remaining_s, is_used=is_used)
        finally:
            timer.cancel()
            self.pool.discard(connection)

    def close(self) -> None:
        """Cancel a health check in progress."""
        if self.health_task is not None:
            self.health_task.cancel()


def read_remaining(received: ReceivedResponse, names: HeaderNames) -> float:
    """Return the remaining cold time in a health response, in seconds.

    An upstream that is warm leaves the header out of a success. An error without it
    says nothing, as of an upstream that is starting.

    Raises
    ------
    ValueError
        If the response is an error or comes from no upstream, or the time is no number.
    """
    value = received.find_header(names.warm_in_ms)
    is_success = 200 <= received.status < 300
    if value is None and is_success and received.find_header(names.upstream_id):
        return 0.0
    if value is None or not value.isdigit():
        raise ValueError(f"health response without a remaining cold time: {value!r}")
    return int(value) / 1000
