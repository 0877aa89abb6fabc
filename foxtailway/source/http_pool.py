"""Pool of HTTP connections that are replaced together after a failure."""

import socket

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from foxtailway.transport.curl_head import CurlResponseHead

__all__ = ["HttpPool"]

# Idle time before the first keepalive probe.
KEEPALIVE_IDLE_S = 2
# Time between keepalive probes.
KEEPALIVE_INTERVAL_S = 1
# Time without an acknowledgement after which the kernel closes a connection.
TCP_USER_TIMEOUT_MS = 5_000
# Bytes received after the header section, for each byte of the largest body. Small
# chunks take more than their content, and chunk extensions have no bound of their own.
MAX_DATA_RATIO = 2
# The same for a small body, in bytes.
MIN_MAX_DATA_SIZE = 65_536


class PooledClient:
    """HTTP client with the number of its calls in flight.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client that shares no connections with other clients.
    """

    def __init__(self, *, client: CurlAsyncHTTPClient) -> None:
        self.client = client
        self.n_in_flight = 0
        self.is_closed = False

    def close(self) -> None:
        """Close the client; idempotent."""
        if not self.is_closed:
            self.is_closed = True
            self.client.close()


class BoundedTransfer:
    """Check the header section of a response and bound the bytes that follow it.

    libcurl bounds header sections and trailers, and tornado the decoded body, but chunk
    extensions only end with the timeout of the call.

    Parameters
    ----------
    max_data_size : int
        Largest number of bytes that may follow the header section, in bytes.

    Attributes
    ----------
    head : CurlResponseHead
        Header section of the response.
    n_received : int
        Bytes that followed it.
    """

    def __init__(self, *, max_data_size: int) -> None:
        self.max_data_size = max_data_size
        self.head = CurlResponseHead()
        self.n_received = 0

    @property
    def is_too_long(self) -> bool:
        """Whether more bytes followed the header section than allowed."""
        return self.n_received > self.max_data_size

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options and callbacks of a curl handle."""
        enable_keepalive(curl)
        self.head.attach(curl)
        curl.setopt(pycurl.DEBUGFUNCTION, self.handle_debug)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.handle_progress)

    def handle_debug(self, kind: int, data: bytes) -> None:
        """Record received bytes (callback of curl)."""
        self.head.handle_debug(kind, data)
        if kind == pycurl.INFOTYPE_DATA_IN:
            self.n_received += len(data)

    def handle_progress(self, *_sizes: int) -> int:
        """Return 1, which aborts the transfer, if too many bytes were received."""
        return int(self.is_too_long)


class HttpPool:
    """Make HTTP calls over persistent connections.

    Existing connections may stop transferring data while new ones work. Calls
    after a failed one therefore use new connections; calls in flight end on the
    old ones. The kernel sends keepalive probes and closes a connection after
    five seconds without an acknowledgement.

    Parameters
    ----------
    n_connections : int
        Maximum number of calls in flight; further calls wait.
    max_body_size : int
        Largest accepted response body after decompression, in bytes. Bytes on the wire
        are bounded in proportion to it.
    """

    def __init__(self, *, n_connections: int, max_body_size: int) -> None:
        self.n_connections = n_connections
        self.max_body_size = max_body_size
        self.clients: list[PooledClient] = []
        self.replace_client()

    def replace_client(self) -> None:
        """Use new connections for all further calls."""
        client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=self.n_connections,
            max_body_size=self.max_body_size,
        )
        self.clients.append(PooledClient(client=client))

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Return the response to a request.

        Parameters
        ----------
        request : HTTPRequest
            Request; its ``prepare_curl_callback`` is overwritten.

        Returns
        -------
        HTTPResponse
            Response of any status.

        Raises
        ------
        CurlError
            If no complete response arrived.
        """
        max_data_size = max(MIN_MAX_DATA_SIZE, MAX_DATA_RATIO * self.max_body_size)
        transfer = BoundedTransfer(max_data_size=max_data_size)
        request.prepare_curl_callback = transfer.prepare
        pooled = self.clients[-1]
        pooled.n_in_flight += 1
        try:
            response = await pooled.client.fetch(request, raise_error=False)
            if not transfer.head.is_complete:
                raise CurlError(
                    pycurl.E_PARTIAL_FILE, "incomplete or invalid header section"
                )
            return response
        except CurlError as error:
            if pooled is self.clients[-1]:
                self.replace_client()
            if transfer.is_too_long:
                raise CurlError(
                    pycurl.E_WRITE_ERROR, "too many bytes after the header section"
                ) from error
            raise
        finally:
            pooled.n_in_flight -= 1
            self.close_unused()

    def close_unused(self) -> None:
        """Close replaced clients without calls in flight."""
        for pooled in self.clients[:-1]:
            if not pooled.n_in_flight:
                pooled.close()
                self.clients.remove(pooled)

    def close(self) -> None:
        """Close all connections; idempotent."""
        for pooled in self.clients:
            pooled.close()


def enable_keepalive(curl: pycurl.Curl) -> None:
    """Enable TCP keepalive and a user timeout, to detect dead connections."""
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    curl.setopt(pycurl.SOCKOPTFUNCTION, set_user_timeout)


def set_user_timeout(file_descriptor: int, purpose: int) -> int:
    """Limit the time that sent data and probes may stay unacknowledged.

    Called by curl for each new socket.
    """
    connection = socket.socket(fileno=file_descriptor)
    try:
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
    finally:
        connection.detach()
    return pycurl.SOCKOPT_OK
