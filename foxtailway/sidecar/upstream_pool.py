"""Pool of persistent connections to the upstream on the same host."""

import asyncio

from foxtailway.sidecar.http_connection import HttpConnection, connect_http

__all__ = ["UpstreamPool"]

# Time within which a connection has to be established.
CONNECT_TIMEOUT_S = 0.5
# An upstream may close an idle connection at any time, and a request that is lost
# this way may have run. Requests that are not idempotent are therefore sent only
# on a connection that was idle for a short time.
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
# Idle time after which a connection is not reused for any request.
MAX_IDLE_S = 60.0


class UpstreamPool:
    """Connection pool for one upstream; the most recently used one is reused first.

    Parameters
    ----------
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream.
    request_id_header : bytes
        Header in which the upstream echoes the identifier of the request.
    """

    def __init__(self, *, address: str, port: int, request_id_header: bytes) -> None:
        self.address = address
        self.port = port
        self.request_id_header = request_id_header
        self.idle: list[HttpConnection] = []

    async def acquire(self, *, is_idempotent: bool) -> HttpConnection:
        """Return an idle or a new connection.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request to be sent is idempotent.

        Raises
        ------
        ExchangeError
            When no connection can be established.
        """
        now = asyncio.get_running_loop().time()
        limit_s = MAX_IDLE_S if is_idempotent else MAX_IDLE_NOT_IDEMPOTENT_S
        while self.idle:
            connection = self.idle.pop()
            if connection.can_reuse(now, limit_s):
                return connection
            connection.close()
        return await self.connect()

    async def connect(self) -> HttpConnection:
        """Return a new connection; raise `ExchangeError` if it fails."""
        return await connect_http(
            address=self.address,
            port=self.port,
            timeout_s=CONNECT_TIMEOUT_S,
            request_id_header=self.request_id_header,
        )

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool; close it if it cannot be reused."""
        if connection.is_reusable and connection.exchange is None:
            self.idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections; idempotent."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
