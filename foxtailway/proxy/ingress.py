"""HTTP listener for calls of clients and of the local upstream."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from http.client import responses

from expression import Result
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPOutputError,
    HTTPServerRequest,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from foxtailway.proxy.header import (
    DEADLINE_HEADER,
    HOPS_HEADER,
    IDEMPOTENCY_HEADER,
    forwardable_headers,
    get_refusal_status,
    outcome_headers,
    parse_non_negative,
)
from foxtailway.proxy.message import CallResponse, Header
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["CallHandler", "HttpIngress", "InboundCall"]

# Largest request head that is read; the snapshot in force may set a lower limit.
MAX_HEADER_SIZE_BYTES = 65_536

# Time within which a request body must arrive.
BODY_TIMEOUT_S = 10.0

# Time after which an idle connection is closed.
IDLE_TIMEOUT_S = 75.0

# Time for which a stopping listener waits for the responses in flight.
CLOSE_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class InboundCall:
    """Describe a call as it entered the mesh.

    Parameters
    ----------
    method, path, target : str
        HTTP method, path without query, and request target.
    headers : tuple of Header
        End-to-end headers.
    header_size : int
        Size of all received headers, in bytes.
    body : bytes
        Whole request body.
    caller : str
        Identity of the caller for fair sharing of upstreams.
    n_hops : int
        Number of nodes on the path of the call before this one.
    remaining_s : float or None
        Remaining time sent by the caller, in seconds; None if it sent none.
    idempotency_key : str
        Key sent by the caller; empty if it sent none.
    is_local : bool
        Whether the local upstream makes the call.
    """

    method: str
    path: str
    target: str
    headers: tuple[Header, ...]
    header_size: int
    body: bytes = field(repr=False)
    caller: str
    n_hops: int
    remaining_s: float | None
    idempotency_key: str
    is_local: bool


class CallHandler(ABC):
    """Interface that serves inbound calls."""

    @abstractmethod
    async def handle(self, call: InboundCall) -> Result[CallResponse, Refusal]:
        """Return the complete response or a refusal."""


class HttpIngress:
    """Accept HTTP calls on one port.

    Parameters
    ----------
    handler : CallHandler
        Serves the calls.
    is_trusted : bool
        Whether the callers' mesh headers are trusted. Those of clients are
        not: they are removed and ignored.
    service : str or None
        Caller of all calls on this port; None makes the address of the client
        the caller.
    max_body_size : int
        Largest request body that is read, in bytes.
    """

    def __init__(
        self,
        *,
        handler: CallHandler,
        is_trusted: bool,
        service: str | None,
        max_body_size: int,
    ) -> None:
        self.handler = handler
        self.is_trusted = is_trusted
        self.service = service
        self.is_stopping = False
        self.tasks: set[asyncio.Task] = set()
        self.server = HTTPServer(
            self.accept,
            max_header_size=MAX_HEADER_SIZE_BYTES,
            max_body_size=max_body_size,
            max_buffer_size=max_body_size + MAX_HEADER_SIZE_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, *, address: str, port: int) -> None:
        """Start to accept connections."""
        self.server.listen(port, address)

    async def close(self) -> None:
        """Stop listening, finish the requests in flight and close all connections.

        Requests that take longer than `CLOSE_TIMEOUT_S` are cut off.
        """
        self.is_stopping = True
        self.server.stop()
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=CLOSE_TIMEOUT_S)
        await self.server.close_all_connections()

    def accept(self, request: HTTPServerRequest) -> None:
        """Start a task that serves one request until its client disconnects."""
        task = asyncio.ensure_future(self.serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        request.connection.set_close_callback(task.cancel)

    async def serve(self, request: HTTPServerRequest) -> None:
        """Serve one request and write its response."""
        call = read_call(request, is_trusted=self.is_trusted, service=self.service)
        try:
            result = await self.handler.handle(call)
            await write_result(request, result, is_closing=self.is_stopping)
        except (StreamClosedError, HTTPOutputError):
            return
        except Exception:
            request.connection.close()
            raise


def read_call(
    request: HTTPServerRequest, *, is_trusted: bool, service: str | None
) -> InboundCall:
    """Return the call described by an HTTP request."""
    headers = request.headers
    n_hops = None
    remaining_ms = None
    if is_trusted:
        n_hops = parse_non_negative(headers.get(HOPS_HEADER))
        remaining_ms = parse_non_negative(headers.get(DEADLINE_HEADER))
    return InboundCall(
        method=request.method or "",
        path=request.path,
        target=request.uri or "/",
        headers=forwardable_headers(headers),
        header_size=sum(
            len(name) + len(value) + 4 for name, value in headers.get_all()
        ),
        body=request.body,
        caller=service or request.remote_ip or "",
        n_hops=n_hops or 0,
        remaining_s=None if remaining_ms is None else remaining_ms / 1000,
        idempotency_key=headers.get(IDEMPOTENCY_HEADER, ""),
        is_local=is_trusted,
    )


async def write_result(
    request: HTTPServerRequest,
    result: Result[CallResponse, Refusal],
    *,
    is_closing: bool,
) -> None:
    """Write a response, or a refusal if the response is not valid in HTTP."""
    if result.is_error():
        await write_refusal(request, result.error, is_closing=is_closing)
        return
    try:
        headers = make_headers((*result.ok.headers, *outcome_headers(Outcome.RAN)))
        check_status(result.ok.status)
    except (HTTPInputError, ValueError):
        refusal = Refusal(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.MALFORMED,
            retry_after_s=0.0,
            host_id="",
        )
        await write_refusal(request, refusal, is_closing=is_closing)
        return
    await write_response(request, result.ok.status, headers, result.ok.body, is_closing)


def make_headers(headers: Iterable[Header]) -> HTTPHeaders:
    """Return validated headers.

    Raises
    ------
    HTTPInputError, ValueError
        If a name or a value holds a character that is not allowed.
    """
    checked = HTTPHeaders()
    for header in headers:
        checked.add(header.name, header.value)
        header.value.encode("latin-1")
    return checked


def check_status(status: int) -> None:
    """Raise ValueError for a status that is not final, from 200 to 599."""
    if not 200 <= status <= 599:
        raise ValueError(f"status must be between 200 and 599, not {status}")


async def write_refusal(
    request: HTTPServerRequest, refusal: Refusal, *, is_closing: bool
) -> None:
    """Write a refusal with the outcome of the request."""
    content_type = Header(name="Content-Type", value="text/plain; charset=utf-8")
    headers = make_headers((content_type, *outcome_headers(refusal.outcome, refusal)))
    body = f"{refusal.outcome.value}: {refusal.reason.value}\n".encode()
    await write_response(
        request, get_refusal_status(refusal), headers, body, is_closing
    )


async def write_response(
    request: HTTPServerRequest,
    status: int,
    headers: HTTPHeaders,
    body: bytes,
    is_closing: bool,
) -> None:
    """Write a response and wait until it is handed to the kernel.

    Parameters
    ----------
    request : HTTPServerRequest
        Request to respond to.
    status : int
        HTTP status.
    headers : HTTPHeaders
        Response headers without the content length; modified in place.
    body : bytes
        Response body; not written to a HEAD request.
    is_closing : bool
        Whether the connection closes after this response.
    """
    if is_closing:
        headers["Connection"] = "close"
    may_have_body = status >= 200 and status not in (204, 304)
    if may_have_body:
        headers["Content-Length"] = str(len(body))
    start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, ""))
    has_body = may_have_body and request.method != "HEAD"
    connection = request.connection
    written = connection.write_headers(
        start_line, headers, chunk=body if has_body else None
    )
    connection.finish()
    await written
