"""HTTP connections that are given up together once one of them failed."""

import socket

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

__all__ = ["HttpPool"]

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
USER_TIMEOUT_MS = 5_000


class PooledClient:
    """Count the calls in flight of one client.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client with connections of its own.
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


class HttpPool:
    """Make HTTP calls over connections that are kept open.

    Connections may go silent while new ones work. Calls that follow a failed
    one therefore use new connections; calls in flight finish on the old ones.
    The kernel probes connections and gives them up after five seconds without
    an acknowledgement.

    Parameters
    ----------
    n_connections : int
        Calls in flight at a time; further ones wait.
    max_body_size : int
        Largest accepted body after decompression, in bytes.
    """

    def __init__(self, *, n_connections: int, max_body_size: int) -> None:
        self.n_connections = n_connections
        self.max_body_size = max_body_size
        self.clients: list[PooledClient] = []
        self.renew()

    def renew(self) -> None:
        """Use new connections from now on."""
        client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=self.n_connections,
            max_body_size=self.max_body_size,
        )
        self.clients.append(PooledClient(client=client))

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Make one call.

        Parameters
        ----------
        request : HTTPRequest
            Request; its callback for curl is set here.

        Returns
        -------
        HTTPResponse
            Response of any status.

        Raises
        ------
        CurlError
            When no whole response arrived.
        """
        request.prepare_curl_callback = probe_connection
        pooled = self.clients[-1]
        pooled.n_in_flight += 1
        try:
            return await pooled.client.fetch(request, raise_error=False)
        except CurlError:
            if pooled is self.clients[-1]:
                self.renew()
            raise
        finally:
            pooled.n_in_flight -= 1
            self.close_unused()

    def close_unused(self) -> None:
        """Close clients that were replaced and carry no call."""
        for pooled in self.clients[:-1]:
            if not pooled.n_in_flight:
                pooled.close()
                self.clients.remove(pooled)

    def close(self) -> None:
        """Close all connections; idempotent."""
        for pooled in self.clients:
            pooled.close()


def probe_connection(curl: pycurl.Curl) -> None:
    """Let the kernel find a connection that went silent."""
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    curl.setopt(pycurl.SOCKOPTFUNCTION, limit_unacknowledged)


def limit_unacknowledged(descriptor: int, purpose: int) -> int:
    """Bound the time that sent bytes and probes may stay unacknowledged."""
    connection = socket.socket(fileno=descriptor)
    try:
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
    finally:
        connection.detach()
    return pycurl.SOCKOPT_OK
