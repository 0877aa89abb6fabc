"""Kept connections to the upstream beside the sidecar."""

import asyncio

from foxtailway.sidecar.http_connection import HttpConnection, connect_http

__all__ = ["UpstreamPool"]

CONNECT_TIMEOUT_S = 0.5
# An upstream may drop an idle connection unannounced. A request that must not
# run twice is therefore sent only on a connection that was used just before.
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
MAX_IDLE_S = 60.0


class UpstreamPool:
    """Lend connections to one upstream, the last used one first.

    Parameters
    ----------
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream.
    request_id_header : bytes
        Header in which the upstream repeats the request's identifier.
    """

    def __init__(self, *, address: str, port: int, request_id_header: bytes) -> None:
        self.address = address
        self.port = port
        self.request_id_header = request_id_header
        self.idle: list[HttpConnection] = []

    async def acquire(self, *, is_idempotent: bool) -> HttpConnection:
        """Return a connection, kept or new; raise `ExchangeError` if none."""
        now = asyncio.get_running_loop().time()
        limit_s = MAX_IDLE_S if is_idempotent else MAX_IDLE_NOT_IDEMPOTENT_S
        while self.idle:
            connection = self.idle.pop()
            if connection.can_reuse(now, limit_s):
                return connection
            connection.close()
        return await self.connect()

    async def connect(self) -> HttpConnection:
        """Return a new connection; raise `ExchangeError` if there is none."""
        return await connect_http(
            address=self.address,
            port=self.port,
            timeout_s=CONNECT_TIMEOUT_S,
            request_id_header=self.request_id_header,
        )

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back."""
        if connection.is_reusable and connection.exchange is None:
            self.idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
