"""HTTP client of the host's own upstream."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import pycurl
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httputil import HTTPHeaders

from foxtailway.proxy.header import (
    DEADLINE_HEADER,
    HOPS_HEADER,
    IDEMPOTENCY_HEADER,
    forwardable_headers,
)
from foxtailway.proxy.message import CallRequest, CallResponse
from foxtailway.routing.outcome import Outcome, Refusal, RefusalReason

__all__ = ["CancelToken", "CurlUpstreamClient", "UpstreamClient"]

NOT_SENT_ERRORS = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_INTERFACE_FAILED}
)


@dataclass(slots=True, kw_only=True)
class CancelToken:
    """Tell a running request that its caller is gone."""

    is_cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the request; idempotent."""
        self.is_cancelled = True


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
            A refusal of outcome ``NOT_RUN`` only when no connection was made.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class CurlUpstreamClient(UpstreamClient):
    """Run requests with the curl client of tornado.

    Parameters
    ----------
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
        host_id: str,
        address: str,
        port: int,
        connect_timeout_s: float,
        n_connections: int,
        max_body_size: int,
    ) -> None:
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
        fetch = HTTPRequest(
            self.base_url + request.target,
            method=request.method,
            headers=upstream_headers(request, timeout_s, credential),
            body=request.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=min(self.connect_timeout_s, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            streaming_callback=body.append,
            prepare_curl_callback=make_curl_setup(request.is_idempotent, token),
        )
        try:
            response = await self.client.fetch(fetch, raise_error=False)
        except (pycurl.error, ValueError):
            return Error(self.refuse(Outcome.NOT_RUN, RefusalReason.MALFORMED))
        except HTTPClientError as error:
            return Error(self.classify_error(error, body))
        if response.code == 599 or body.is_too_large:
            return Error(self.classify_error(response.error, body))
        return Ok(
            CallResponse(
                call_id=request.call_id,
                status=response.code,
                headers=forwardable_headers(response.headers),
                body=b"".join(body.chunks),
            )
        )

    def classify_error(
        self, error: BaseException | None, body: "ResponseBody"
    ) -> Refusal:
        """Tell a request that never reached the upstream from a lost one."""
        if body.is_too_large:
            return self.refuse(Outcome.UNKNOWN, RefusalReason.TOO_LARGE)
        errno = error.errno if isinstance(error, CurlError) else None
        if errno in NOT_SENT_ERRORS:
            return self.refuse(Outcome.NOT_RUN, RefusalReason.LOST)
        if errno == pycurl.E_ABORTED_BY_CALLBACK:
            return self.refuse(Outcome.UNKNOWN, RefusalReason.CANCELLED)
        if errno == pycurl.E_OPERATION_TIMEDOUT:
            return self.refuse(Outcome.UNKNOWN, RefusalReason.EXPIRED)
        return self.refuse(Outcome.UNKNOWN, RefusalReason.LOST)

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


def make_curl_setup(
    is_idempotent: bool, token: CancelToken
) -> Callable[[pycurl.Curl], None]:
    """Return a callback that prepares a curl handle for one request."""

    def report_progress(*_sizes: float) -> int:
        return int(token.is_cancelled)

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, 0 if is_idempotent else 1)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, report_progress)
        curl.setopt(pycurl.PROXY, "")

    return prepare


def upstream_headers(
    request: CallRequest, timeout_s: float, credential: bytes | None
) -> HTTPHeaders:
    """Return the headers of the request as the upstream sees it."""
    headers = HTTPHeaders()
    for header in request.headers:
        headers.add(header.name, header.value)
    headers[DEADLINE_HEADER] = str(max(0, int(timeout_s * 1000)))
    headers[HOPS_HEADER] = str(request.n_hops)
    if request.idempotency_key:
        headers[IDEMPOTENCY_HEADER] = request.idempotency_key
    if credential is not None:
        headers["Authorization"] = "Bearer " + credential.decode("utf-8").strip()
    return headers
