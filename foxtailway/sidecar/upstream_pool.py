"""Pool of persistent connections to the upstream on the same host."""

import asyncio
from dataclasses import replace

from foxtailway.sidecar.http_connection import HttpConnection, connect_http
from foxtailway.sidecar.http_exchange import ExchangeError
from foxtailway.transport.response_limits import (
    DEFAULT_RESPONSE_LIMITS,
    BufferBudget,
    ResponseLimits,
)

__all__ = ["UpstreamPool", "is_lost_by_peer"]

# Time within which a connection has to be established.
CONNECT_TIMEOUT_S = 0.5
# An upstream may close an idle connection at any time, and a request that is lost
# this way may have run. Requests that are not idempotent are therefore sent only
# on a connection that was idle for less than this time.
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
# Idle time after which a connection is not reused for any request.
MAX_IDLE_S = 60.0
# Refused requests after which a connection is not reused, since their identifiers are
# kept as long as it is open.
MAX_REFUSED_IDS = 256


class UpstreamPool:
    """Connections to one upstream; the most recently used one is reused first.

    Parameters
    ----------
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream.
    request_id_header : bytes
        Header in which the upstream echoes the identifier of the request.
    limits : ResponseLimits, default=DEFAULT_RESPONSE_LIMITS
        Bounds of the responses.
    budget : BufferBudget or None, default=None
        Bound of the bodies that are received at a time; None for none.

    Attributes
    ----------
    opened_at : dict of HttpConnection to float
        Monotonic times at which the connections in the pool or in use were opened.
    lost_at : float or None
        Monotonic time of the last loss of a connection that this node did not close;
        None if it has been evaluated by `take_restart`.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        request_id_header: bytes,
        limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
        budget: BufferBudget | None = None,
    ) -> None:
        self.limits = limits
        self.budget = budget
        self.address = address
        self.port = port
        self.request_id_header = request_id_header
        self.idle: list[HttpConnection] = []
        self.opened_at: dict[HttpConnection, float] = {}
        self.lost_at: float | None = None

    async def acquire(
        self, *, is_idempotent: bool, request_id: bytes
    ) -> HttpConnection:
        """Return an idle or a new connection.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request to be sent is idempotent.
        request_id : bytes
            Identifier of the request. A connection on which a request with it was
            refused is not used, since a copy of that refusal could not be told from
            the response; nor is any used connection for a request without one.

        Raises
        ------
        ExchangeError
            When no connection can be established.
        """
        now = asyncio.get_running_loop().time()
        limit_s = MAX_IDLE_S if is_idempotent else MAX_IDLE_NOT_IDEMPOTENT_S
        while self.idle:
            connection = self.idle.pop()
            is_distinguishable = request_id and request_id not in connection.refused_ids
            if is_distinguishable and connection.can_reuse(now, limit_s):
                return connection
            if connection.transport.is_closing():
                self.record_loss()
            self.discard(connection)
        return await self.connect()

    async def connect(self) -> HttpConnection:
        """Return a new connection; raise `ExchangeError` if it fails."""
        try:
            connection = await connect_http(
                address=self.address,
                port=self.port,
                timeout_s=CONNECT_TIMEOUT_S,
                request_id_header=self.request_id_header,
                limits=self.limits,
                budget=self.budget,
            )
        except ExchangeError:
            self.record_loss()
            raise
        self.opened_at[connection] = asyncio.get_running_loop().time()
        return connection

    def record_loss(self) -> None:
        """Record that a connection was lost or not accepted."""
        self.lost_at = asyncio.get_running_loop().time()

    def take_restart(self) -> bool:
        """Return whether the upstream may have restarted since the last call.

        That is so if a connection was lost and none is left that was opened before. A
        connection that is open proves that the process that accepted it still runs.
        """
        lost_at = self.lost_at
        if lost_at is None:
            return False
        self.lost_at = None
        return not any(
            opened_at < lost_at and not connection.transport.is_closing()
            for connection, opened_at in self.opened_at.items()
        )

    def discard(self, connection: HttpConnection) -> None:
        """Close a connection that is not used any more."""
        self.opened_at.pop(connection, None)
        connection.close()

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool; close it if it cannot be reused."""
        if (
            connection.is_reusable
            and connection.exchange is None
            and len(connection.refused_ids) < MAX_REFUSED_IDS
        ):
            self.idle.append(connection)
        else:
            self.discard(connection)

    def apply_limits(self, *, max_body_size: int, max_buffered_size: int) -> None:
        """Apply changed limits; a body limit holds for new connections only."""
        self.limits = replace(self.limits, max_body_size=max_body_size)
        if self.budget is not None:
            self.budget.max_size = max_buffered_size

    def close(self) -> None:
        """Close the idle connections; idempotent."""
        for connection in self.idle:
            self.discard(connection)
        self.idle.clear()


def is_lost_by_peer(error: BaseException | None) -> bool:
    """Return whether the other end closed or reset the connection of an exchange."""
    return type(error) is ExchangeError and error.step == "receive"
