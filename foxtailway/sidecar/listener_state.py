"""Handler of requests, and the state that the connections of one listener share."""

import asyncio
from abc import ABC, abstractmethod

from foxtailway.sidecar.http_message import (
    CONNECTION_HEADERS,
    ClientRequest,
    HeaderNames,
    Response,
)
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import MemoryAccount
from foxtailway.traffic.configuration import ClientLimits

__all__ = ["ListenerState", "RequestHandler"]

# Buffer of the connections of a listener for received bytes, in bytes.
READ_BUFFER_SIZE = 65_536


class RequestHandler(ABC):
    """Handler of the requests of one listener."""

    @abstractmethod
    async def handle(self, request: ClientRequest) -> Response:
        """Return the response; cancelled when the client disconnects."""

    def can_run_beside(self, request: ClientRequest) -> bool:
        """Return whether a request may run beside others of its connection.

        A client sends pipelined requests again if their connection closes before
        they are answered, so that all of them have to be idempotent.
        """
        return False


class ListenerState(ABC):
    """State that the connections of one listener share.

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

    Attributes
    ----------
    limits : ClientLimits
        Limits in force; they may be replaced while the server runs.
    is_closing : bool
        Whether each response closes its connection.
    is_ending : bool
        Whether the requests in progress are answered without a result.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        names: HeaderNames,
        log: EventLog,
        account: MemoryAccount | None = None,
    ) -> None:
        self.account = MemoryAccount() if account is None else account
        self.read_buffer = bytearray(READ_BUFFER_SIZE)
        self.read_view = memoryview(self.read_buffer)
        self.handler = handler
        self.log = log
        self.names = names
        self.limits = ClientLimits()
        self.excluded_headers = CONNECTION_HEADERS | {
            names.caller,
            names.expected_upstream,
            names.remaining_ms,
        }
        self.kept_headers = frozenset({b"host", names.request_id})
        self.is_closing = False
        self.is_ending = False

    @abstractmethod
    def add_connection(self, connection: asyncio.BaseProtocol) -> None:
        """Register a new connection, which may have to wait for room."""

    @abstractmethod
    def discard_connection(self, connection: asyncio.BaseProtocol) -> None:
        """Forget a connection that has ended."""
