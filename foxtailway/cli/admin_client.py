"""HTTP client of the admin ports of nodes."""

import asyncio
from argparse import ArgumentTypeError
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import orjson
from expression import Error, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest

from foxtailway.cli.node_report import (
    AuditReport,
    NodeReport,
    parse_audit_report,
    parse_node_report,
)
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.source.http_pool import HttpPool

__all__ = ["AdminAddress", "AdminClient", "parse_address"]

# Default time for one request.
TIMEOUT_S = 5.0
# Requests that run concurrently.
MAX_CONNECTIONS = 64
# Responses above this size count as a failure of the node.
MAX_RESPONSE_BYTES = 20_000_000
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminAddress:
    """Address of the admin port of a node."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> AdminAddress:
    """Return the address written as ``HOST:PORT``.

    Raises
    ------
    argparse.ArgumentTypeError
        When `text` is malformed or the port is not in the range 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    is_host = host.isascii() and all(char.isalnum() or char in ".:-_" for char in host)
    if not (host and is_host and is_port and 1 <= int(port) <= MAX_PORT):
        raise ArgumentTypeError(f"{text!r} is not HOST:PORT with a port up to 65535")
    return AdminAddress(host=host, port=int(port))


class AdminClient:
    """Client that requests the admin ports of many nodes concurrently.

    Parameters
    ----------
    timeout_s : float, default=5.0
        Time after which a node counts as unreachable, in seconds.
    """

    def __init__(self, *, timeout_s: float = TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        self.pool = HttpPool(
            n_connections=MAX_CONNECTIONS, max_body_size=MAX_RESPONSE_BYTES
        )

    def close(self) -> None:
        """Close all connections; may be called more than once."""
        self.pool.close()

    async def fetch_nodes(
        self, addresses: Sequence[AdminAddress]
    ) -> list[Result[NodeReport, Failure]]:
        """Return the status of each node, or its failure, in the given order."""
        return await asyncio.gather(*map(self.fetch_node, addresses))

    async def fetch_node(self, address: AdminAddress) -> Result[NodeReport, Failure]:
        """Return the status of a node, or the failure to obtain it."""
        fetched = await self.fetch(address, "/status")
        if fetched.is_error():
            return Error(fetched.error)
        report = parse_node_report(fetched.ok)
        if report is None:
            return Error(
                make_failure(
                    address, FailureKind.INVALID, "response is not a node status"
                )
            )
        return Ok(report)

    async def fetch_audit(
        self, address: AdminAddress, *, since: int
    ) -> Result[AuditReport, Failure]:
        """Return the entries of the audit trail of a node after `since`.

        Parameters
        ----------
        address : AdminAddress
            Admin port of the node.
        since : int
            Sequence number of the last entry that is not needed.

        Returns
        -------
        Result
            The entries, or the failure to obtain them.
        """
        fetched = await self.fetch(address, f"/audit?since={since}")
        if fetched.is_error():
            return Error(fetched.error)
        report = parse_audit_report(fetched.ok)
        if report is None:
            return Error(
                make_failure(
                    address, FailureKind.INVALID, "response is not an audit trail"
                )
            )
        return Ok(report)

    async def fetch(self, address: AdminAddress, path: str) -> Result[Any, Failure]:
        """Return the decoded JSON response of a node, or a failure.

        The kind is ``UNREACHABLE`` if the request fails, times out or returns an
        HTTP error status, and ``INVALID`` if the body is not JSON or the
        operating system reports an error.
        """
        request = HTTPRequest(
            f"http://{address}{path}",
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self.pool.fetch(request)
            response.rethrow()
            return Ok(orjson.loads(response.body))
        except HTTPClientError as error:
            return Error(make_failure(address, FailureKind.UNREACHABLE, error.message))
        except (OSError, ValueError) as error:
            return Error(make_failure(address, FailureKind.INVALID, str(error)))


def make_failure(address: AdminAddress, kind: FailureKind, detail: str) -> Failure:
    """Return a failure to receive a response from a node."""
    return Failure(step=Step.RECEIVE, kind=kind, peer=str(address), detail=detail)
