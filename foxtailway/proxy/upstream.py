"""HTTP client for the local upstream."""

import re
from abc import ABC, abstractmethod
from collections.abc import Callable

import pycurl
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders, HTTPInputError

from foxtailway.common.clock import Clock
from foxtailway.proxy.header import (
    DEADLINE_HEADER,
    HOPS_HEADER,
    IDEMPOTENCY_HEADER,
    forwardable_headers,
)
from foxtailway.proxy.message import CallRequest, CallResponse
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason
from foxtailway.transport.curl_head import CurlResponseHead
from foxtailway.transport.response_limits import HeadMeter

__all__ = ["CancelToken", "CurlUpstreamClient", "UpstreamClient"]

METHOD_PATTERN = re.compile(r"[A-Za-z!#$%&'*+.^_`|~0-9-]+")
TARGET_PATTERN = re.compile(r"/[!-~]*")
# Largest number of bytes that frame one body, beside one for each byte of the body.
MAX_FRAMING_SIZE = 65_536
# Header that tornado's curl client adds to a response with its reason phrase.
REASON_PHRASE_HEADER = "X-Http-Reason"


class CancelToken:
    """Signal to a waiting or running request that it is cancelled.

    Attributes
    ----------
    is_cancelled : bool
        Whether the request is cancelled.
    callbacks : list of callable
        Called once each, when the token is cancelled.
    """

    def __init__(self) -> None:
        self.is_cancelled = False
        self.callbacks: list[Callable[[], None]] = []

    def cancel(self) -> None:
        """Cancel the request; idempotent."""
        if self.is_cancelled:
            return
        self.is_cancelled = True
        for callback in tuple(self.callbacks):
            callback()


class UpstreamClient(ABC):
    """Interface of clients that run requests at the local upstream."""

    @abstractmethod
    async def run(
        self,
        request: CallRequest,
        *,
        timeout_s: float,
        credential: bytes | None,
        token: CancelToken,
    ) -> Result[CallResponse, Refusal]:
        """Send a request once and wait for the complete response.

        Parameters
        ----------
        request : CallRequest
            Request to send.
        timeout_s : float
            Remaining time until the deadline, in seconds.
        credential : bytes or None
            Bearer token for the upstream, if it requires one.
        token : CancelToken
            Ends the request when cancelled.

        Returns
        -------
        Result
            The response or a refusal. The outcome of a refusal is ``NOT_RUN``
            only if no byte of the request was sent.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class CurlUpstreamClient(UpstreamClient):
    """Run requests with tornado's curl client.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id : str
        Host identifier for refusals.
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream.
    connect_timeout_s : float
        Timeout of a connection attempt, in seconds.
    n_connections : int
        Largest number of concurrent connections.
    max_body_size : int
        Largest accepted response body, in bytes.

    Notes
    -----
    Each request has a connection of its own. Responses bear no identifier, so that on
    a connection in use again, a late second copy of a response would be taken for the
    response to the next request. libcurl also resends a request if a reused connection
    closes before the first byte of the response.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        host_id: str,
        address: str,
        port: int,
        connect_timeout_s: float,
        n_connections: int,
        max_body_size: int,
    ) -> None:
        self.clock = clock
        self.host_id = host_id
        self.base_url = f"http://{address}:{port}"
        self.connect_timeout_s = connect_timeout_s
        self.max_body_size = max_body_size
        self.client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=n_connections
        )

    async def run(
        self,
        request: CallRequest,
        *,
        timeout_s: float,
        credential: bytes | None,
        token: CancelToken,
    ) -> Result[CallResponse, Refusal]:
        """Send a request once and wait for the complete response."""
        body = ResponseBody(max_size=self.max_body_size, token=token)
        transfer = Transfer(
            body=body,
            token=token,
            clock=self.clock,
            deadline=self.clock.now() + timeout_s,
        )
        malformed = self.refuse(Outcome.NOT_RUN, RefusalReason.MALFORMED)
        if not has_valid_start_line(request):
            return Error(malformed)
        try:
            headers = upstream_headers(request, timeout_s, credential)
        except (HTTPInputError, ValueError):
            return Error(malformed)
        http_request = HTTPRequest(
            self.base_url + request.target,
            method=request.method,
            headers=headers,
            body=request.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=min(self.connect_timeout_s, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            streaming_callback=body.append,
            prepare_curl_callback=transfer.prepare,
        )
        try:
            response = await self.client.fetch(http_request, raise_error=False)
        except (pycurl.error, ValueError):
            return Error(malformed)
        except CurlError as error:
            if body.is_too_large:
                return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.TOO_LARGE))
            if transfer.head.is_invalid:
                return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.LOST))
            return Error(self.classify_error(error, transfer))
        if body.is_too_large:
            return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.TOO_LARGE))
        if not transfer.head.is_complete:
            return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.LOST))
        response.headers.pop(REASON_PHRASE_HEADER, None)
        return Ok(
            CallResponse(
                call_id=request.call_id,
                status=response.code,
                headers=forwardable_headers(response.headers),
                body=bytes(body.content),
            )
        )

    def classify_error(self, error: CurlError, transfer: "Transfer") -> Refusal:
        """Return the refusal for an error of curl.

        The outcome is ``NOT_RUN`` if the request was not sent.
        """
        outcome = Outcome.UNKNOWN if transfer.is_sent else Outcome.NOT_RUN
        reason = RefusalReason.LOST
        if error.errno == pycurl.E_ABORTED_BY_CALLBACK:
            is_cancelled = transfer.token.is_cancelled
            reason = RefusalReason.CANCELLED if is_cancelled else RefusalReason.EXPIRED
        elif error.errno == pycurl.E_OPERATION_TIMEDOUT and (
            transfer.is_sent or transfer.is_expired
        ):
            reason = RefusalReason.EXPIRED
        return self.refuse(outcome, reason)

    def refuse(self, outcome: Outcome, reason: RefusalReason) -> Refusal:
        """Return a refusal that arose at this host."""
        return Refusal(
            outcome=outcome, reason=reason, retry_after_s=0.0, host_id=self.host_id
        )

    def close(self) -> None:
        """Close all connections."""
        self.client.close()


class ResponseBody:
    """Collect a response body up to a maximum size, and bound its framing.

    Parameters
    ----------
    max_size : int
        Largest accepted body, in bytes.
    token : CancelToken
        Cancelled when the body is too large.

    Attributes
    ----------
    is_too_large : bool
        Whether the body, or what frames it, exceeded its bound.
    """

    def __init__(self, *, max_size: int, token: CancelToken) -> None:
        self.max_size = max_size
        self.token = token
        self.content = bytearray()
        self.meter = HeadMeter()
        self.is_too_large = False

    def append(self, chunk: bytes) -> None:
        """Append the next chunk; cancel the transfer if the body is too large."""
        self.meter.n_body += len(chunk)
        if self.meter.n_body > self.max_size:
            self.reject()
        if not self.is_too_large:
            self.content += chunk

    def record_received(self, n_bytes: int) -> None:
        """Count received bytes of the body and its framing."""
        # libcurl passes on bytes before their body is extracted.
        if self.meter.is_exceeded(MAX_FRAMING_SIZE):
            self.reject()
        self.meter.n_received += n_bytes

    def reject(self) -> None:
        """Discard the response and end its transfer."""
        self.is_too_large = True
        self.content.clear()
        self.token.cancel()


class Transfer:
    """Configure a curl handle for one request and track its progress.

    Parameters
    ----------
    body : ResponseBody
        Body that is received.
    token : CancelToken
        Ends the transfer when cancelled.
    clock : Clock
        Source of time.
    deadline : float
        Monotonic time after which no request is sent, in seconds.

    Attributes
    ----------
    is_sent : bool
        Whether a byte of the request may have been sent.
    head : CurlResponseHead
        Header section of the response.
    """

    def __init__(
        self, *, body: ResponseBody, token: CancelToken, clock: Clock, deadline: float
    ) -> None:
        self.body = body
        self.token = token
        self.clock = clock
        self.deadline = deadline
        self.is_sent = False
        self.head = CurlResponseHead()

    @property
    def is_expired(self) -> bool:
        """Return whether the deadline has passed."""
        return self.clock.now() >= self.deadline

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options and callbacks of a curl handle."""
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.handle_progress)
        curl.setopt(pycurl.PREREQFUNCTION, self.handle_connected)
        curl.setopt(pycurl.PROXY, "")
        # The only way to see the bytes that frame a body, such as chunk extensions.
        self.head.attach(curl)
        curl.setopt(pycurl.DEBUGFUNCTION, self.handle_debug)

    def handle_progress(self, *_sizes: int) -> int:
        """Return 1, which aborts the transfer, if it is cancelled or invalid."""
        return int(self.token.is_cancelled or self.head.is_invalid)

    def handle_debug(self, kind: int, data: bytes) -> None:
        """Record the header section and count the bytes received after it."""
        self.head.handle_debug(kind, data)
        if kind == pycurl.INFOTYPE_DATA_IN:
            self.body.record_received(len(data))

    def handle_connected(self, *_addresses: object) -> int:
        """Decide on an established connection whether the request is sent.

        The deadline may have passed while the process was paused during the
        connection attempt.
        """
        if self.token.is_cancelled or self.is_expired:
            return pycurl.PREREQFUNC_ABORT
        self.is_sent = True
        return pycurl.PREREQFUNC_OK


def has_valid_start_line(request: CallRequest) -> bool:
    """Return whether method and target are valid in a request line."""
    has_method = METHOD_PATTERN.fullmatch(request.method) is not None
    return has_method and TARGET_PATTERN.fullmatch(request.target) is not None


def upstream_headers(
    request: CallRequest, timeout_s: float, credential: bytes | None
) -> HTTPHeaders:
    """Return the headers of the request to the upstream.

    Raises
    ------
    HTTPInputError, ValueError
        If a header or the credential is not valid in HTTP.
    """
    headers = HTTPHeaders()
    for header in request.headers:
        headers.add(header.name, header.value)
        header.value.encode("latin-1")
    headers[DEADLINE_HEADER] = str(max(0, int(timeout_s * 1000)))
    headers[HOPS_HEADER] = str(request.n_hops)
    if request.idempotency_key:
        headers.pop(IDEMPOTENCY_HEADER, None)
        headers.add(IDEMPOTENCY_HEADER, request.idempotency_key)
    if credential is not None:
        headers["Authorization"] = "Bearer " + credential.decode("utf-8").strip()
    return headers
