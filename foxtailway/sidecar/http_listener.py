"""HTTP/1.1 server for clients of the sidecar."""

import asyncio
import socket
from contextlib import suppress

from foxtailway.sidecar.client_connection import ClientConnection
from foxtailway.sidecar.connection_table import ConnectionTable
from foxtailway.sidecar.http_message import HeaderNames
from foxtailway.sidecar.listener_state import ListenerState, RequestHandler
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import MemoryAccount

__all__ = ["HttpListener", "RequestHandler"]

# Interval at which connections are checked for expired timeouts.
TIMEOUT_CHECK_INTERVAL_S = 0.25
# Connections that the operating system queues before they are accepted.
LISTEN_BACKLOG = 1024
# Connections that are accepted in one turn of the event loop, before any of them is
# counted.
ACCEPT_BATCH = 16


class HttpListener(ListenerState):
    """HTTP server on one port.

    Parameters
    ----------
    handler : RequestHandler
        Handler of the requests.
    names : HeaderNames
        Names of the headers that the mesh interprets.
    log : EventLog
        Event log.
    account : MemoryAccount or None, default=None
        Account of the memory that is held for clients; None for one with default
        limits.
    max_n_connections : int or None, default=None
        Connections that may be open; None for no limit.

    Attributes
    ----------
    table : ConnectionTable
        Connections, and those that wait to be admitted.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        names: HeaderNames,
        log: EventLog,
        account: MemoryAccount | None = None,
        max_n_connections: int | None = None,
    ) -> None:
        super().__init__(
            handler=handler,
            names=names,
            log=log,
            account=account,
        )
        self.table = ConnectionTable(
            account=self.account, max_n_connections=max_n_connections
        )
        self.server: asyncio.Server | None = None
        self.socket: socket.socket | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    async def listen(self, *, address: str, port: int) -> None:
        """Start to accept connections; raise `OSError` if the port is unavailable."""
        self.socket = socket.create_server((address, port), backlog=LISTEN_BACKLOG)
        self.socket.setblocking(False)
        self.server = await asyncio.get_running_loop().create_server(
            self.make_connection, sock=self.socket, backlog=ACCEPT_BATCH
        )
        # asyncio uses one value for the queue and for the number accepted at once.
        self.socket.listen(LISTEN_BACKLOG)
        self.schedule_timeout_check()

    def make_connection(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(listener=self)

    @property
    def connections(self) -> set[ClientConnection]:
        """Open connections that are read."""
        return self.table.open

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a new connection, which may have to wait for room."""
        self.table.add(connection)

    def discard_connection(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.table.discard(connection)

    async def stop_accepting(self) -> None:
        """Accept what the operating system has queued, then close the port.

        Closing the port resets the connections in the queue, whose clients may have
        sent requests.
        """
        accepted: list[socket.socket] = []
        with suppress(BlockingIOError):
            while True:
                accepted.append(self.socket.accept()[0])
        self.server.close()
        loop = asyncio.get_running_loop()
        for sock in accepted:
            sock.setblocking(False)
            await loop.connect_accepted_socket(self.make_connection, sock)

    def schedule_timeout_check(self) -> None:
        """Schedule the next timeout check."""
        self.timeout_timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self.close_expired
        )

    def close_expired(self) -> None:
        """Close the connections whose timeouts have expired.

        The next check is scheduled first, so that an error does not end the checks.
        """
        self.schedule_timeout_check()
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.close_expired(now)

    @property
    def n_active_connections(self) -> int:
        """Number of active connections."""
        return sum(connection.is_active for connection in self.connections)

    @property
    def n_held_bytes(self) -> int:
        """Bytes of bodies of responses that wait for an earlier response."""
        return sum(item.pipeline.n_held_bytes for item in self.connections)

    def close_idle(self) -> None:
        """Close idle connections, and each other one after its next response."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def answer_all(self) -> None:
        """Answer the requests in progress with 502, since the process ends.

        Their clients then need not guess whether a connection was lost on the way.
        """
        self.is_ending = True
        for connection in list(self.connections):
            connection.pipeline.cancel_running()

    def close(self) -> None:
        """Stop accepting connections and close those that remain."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.server is not None:
            self.server.close()
        self.table.close()
        for connection in list(self.connections):
            connection.transport.close()
