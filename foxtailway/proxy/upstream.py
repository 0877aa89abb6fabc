"""HTTP client of the host's own upstream."""

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

__all__ = ["CancelToken", "CurlUpstreamClient", "UpstreamClient"]

METHOD_PATTERN = re.compile(r"[A-Za-z!#$%&'*+.^_`|~0-9-]+")
TARGET_PATTERN = re.compile(r"/[!-~]*")
REASON_PHRASE_HEADER = "X-Http-Reason"


class CancelToken:
    """Tell a request, waiting or running, that its caller is gone.

    Attributes
    ----------
    is_cancelled : bool
        Whether the caller is gone.
    callbacks : list of callable
        Called once, when the token is cancelled.
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
    """Run requests at the host's own upstream."""

    @abstractmethod
    async def run(
        self,
        request: CallRequest,
        *,
        timeout_s: float,
        credential: bytes | None,
        token: CancelToken,
    ) -> Result[CallResponse, Refusal]:
        """Send a request once and wait for the whole answer.

        Returns
        -------
        Result
            A refusal of outcome ``NOT_RUN`` only when no byte was sent.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class CurlUpstreamClient(UpstreamClient):
    """Run requests with the curl client of tornado.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host_id : str
        Host, named in refusals.
    address : str
        IP address of the upstream.
    port : int
        TCP port of the upstream.
    connect_timeout_s : float
        Longest time to connect, in seconds.
    n_connections : int
        Largest number of connections.
    max_body_size : int
        Largest accepted response body, in bytes.

    Notes
    -----
    libcurl sends a request again when a reused connection closes before the
    first byte of the answer. A request that is not idempotent is therefore
    always sent over a fresh connection.
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
        """Send a request once and wait for the whole answer."""
        body = ResponseBody(max_size=self.max_body_size, token=token)
        transfer = Transfer(
            is_idempotent=request.is_idempotent,
            token=token,
            clock=self.clock,
            deadline=self.clock.now() + timeout_s,
        )
        malformed = self.refuse(Outcome.NOT_RUN, RefusalReason.MALFORMED)
        if not is_valid_start(request):
            return Error(malformed)
        try:
            headers = upstream_headers(request, timeout_s, credential)
        except (HTTPInputError, ValueError):
            return Error(malformed)
        fetch = HTTPRequest(
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
            response = await self.client.fetch(fetch, raise_error=False)
        except (pycurl.error, ValueError):
            return Error(malformed)
        except CurlError as error:
            if body.is_too_large:
                return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.TOO_LARGE))
            return Error(self.classify_error(error, transfer))
        if body.is_too_large:
            return Error(self.refuse(Outcome.UNKNOWN, RefusalReason.TOO_LARGE))
        response.headers.pop(REASON_PHRASE_HEADER, None)
        return Ok(
            CallResponse(
                call_id=request.call_id,
                status=response.code,
                headers=forwardable_headers(response.headers),
                body=b"".join(body.chunks),
            )
        )

    def classify_error(self, error: CurlError, transfer: "Transfer") -> Refusal:
        """Tell a request that never reached the upstream from a lost one."""
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
    """Collect a response body up to a bound.

    Parameters
    ----------
    max_size : int
        Largest accepted body, in bytes.
    token : CancelToken
        Cancelled when the body is too large.
    """

    def __init__(self, *, max_size: int, token: CancelToken) -> None:
        self.max_size = max_size
        self.token = token
        self.chunks: list[bytes] = []
        self.n_bytes = 0
        self.is_too_large = False

    def append(self, chunk: bytes) -> None:
        """Take the next chunk."""
        self.n_bytes += len(chunk)
        if self.n_bytes > self.max_size:
            self.is_too_large = True
            self.chunks.clear()
            self.token.cancel()
            return
        self.chunks.append(chunk)


class Transfer:
    """Prepare a curl handle for one request and follow its progress.

    Parameters
    ----------
    is_idempotent : bool
        Whether an open connection may be used again.
    token : CancelToken
        Ends the transfer when cancelled.
    clock : Clock
        Source of time.
    deadline : float
        Time after which nothing is sent, in seconds.

    Attributes
    ----------
    is_sent : bool
        Whether a byte of the request may have left.
    """

    def __init__(
        self, *, is_idempotent: bool, token: CancelToken, clock: Clock, deadline: float
    ) -> None:
        self.is_idempotent = is_idempotent
        self.token = token
        self.clock = clock
        self.deadline = deadline
        self.is_sent = False

    @property
    def is_expired(self) -> bool:
        """Whether the deadline has passed."""
        return self.clock.now() >= self.deadline

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options and callbacks of a handle."""
        curl.setopt(pycurl.FRESH_CONNECT, 0 if self.is_idempotent else 1)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.report_progress)
        curl.setopt(pycurl.PREREQFUNCTION, self.report_connected)
        curl.setopt(pycurl.PROXY, "")

    def report_progress(self, *_sizes: int) -> int:
        """Return 1 to end a transfer whose caller is gone."""
        return int(self.token.is_cancelled)

    def report_connected(self, *_addresses: object) -> int:
        """Decide, on a ready connection, whether the request is sent.

        The process may have been paused since the connection was begun.
        """
        if self.token.is_cancelled or self.is_expired:
            return pycurl.PREREQFUNC_ABORT
        self.is_sent = True
        return pycurl.PREREQFUNC_OK


def is_valid_start(request: CallRequest) -> bool:
    """Whether method and target are fit for the start line of a request."""
    has_method = METHOD_PATTERN.fullmatch(request.method) is not None
    return has_method and TARGET_PATTERN.fullmatch(request.target) is not None


def upstream_headers(
    request: CallRequest, timeout_s: float, credential: bytes | None
) -> HTTPHeaders:
    """Return the headers of the request as the upstream sees it."""
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
