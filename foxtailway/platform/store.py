"""Client of the platform's store."""

import asyncio
import re
import time
from base64 import b64decode
from binascii import Error as Base64Error
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgpack

from foxtailway.platform.names import STORE_EPOCH_HEADER
from foxtailway.sidecar.http_connection import HttpConnection, connect_http
from foxtailway.sidecar.http_exchange import ExchangeError, ReceivedResponse
from foxtailway.sidecar.peer_stream import set_keepalive
from foxtailway.sidecar.settings import Endpoint

__all__ = ["HistoryLostError", "StoreClient", "StoreError", "StoreItem", "StorePage"]

CONNECT_TIMEOUT_S = 1.0
# Time without any byte of the response after which a call fails.
READ_TIMEOUT_S = 2.0
# The same for a watch, in addition to its wait.
WATCH_MARGIN_S = 1.2
# Time that a response may take while its bytes arrive. On a narrow link, a large value
# takes seconds, and a call that is repeated in the middle would never end.
TRANSFER_TIMEOUT_S = 10.0
# Whole number that fits into the messages between nodes.
EPOCH_FORMAT = re.compile(rb"[0-9]{1,18}")
CALL_ERRORS = (
    AttributeError,
    ExchangeError,
    TimeoutError,
    ValueError,
    KeyError,
    TypeError,
    msgpack.UnpackException,
)


class StoreError(Exception):
    """Raised if a call to the store fails.

    Parameters
    ----------
    step : str
        Name of the call that failed.
    peer : str
        ``address:port`` of the store.
    detail : str
        Status of the response, or the error.
    is_disconnected : bool, default=False
        Whether an open connection broke, so that a new one may work at once.
    """

    def __init__(
        self, *, step: str, peer: str, detail: str, is_disconnected: bool = False
    ) -> None:
        super().__init__(f"{step} {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
        self.is_disconnected = is_disconnected


class HistoryLostError(StoreError):
    """Raised if the store no longer has the changes after a revision."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreItem:
    """State or change of one key of the store.

    Parameters
    ----------
    key : str
        Name of the key.
    revision : int
        Revision of the key's last change.
    created_revision : int
        Revision at which the key was created; 0 if unknown.
    content : bytes or None
        Value; None if the key was removed or its value cannot be decoded.
    is_removed : bool
        Whether the key was removed.
    """

    key: str
    revision: int
    created_revision: int
    content: bytes | None
    is_removed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class StorePage:
    """Items of one response with the revision of the store.

    Parameters
    ----------
    items : tuple of StoreItem
        Items of a listing, or changes.
    revision : int
        Revision of the store.
    has_more : bool
        Whether the listing has further pages.
    epoch : int or None, default=None
        Epoch to which the revisions belong; None if the response does not state it.
    """

    items: tuple[StoreItem, ...]
    revision: int
    has_more: bool
    epoch: int | None = None


class StoreClient:
    """Client that reads and watches keys over one persistent connection.

    Parameters
    ----------
    endpoint : Endpoint
        Address of the store.

    Attributes
    ----------
    n_calls : int
        Number of calls made so far; the platform charges each of them.
    min_connect_s : float
        Shortest time that it took to connect, in seconds; infinity before the first
        connection.
    epoch : int or None
        Epoch in the last response, whatever its status; None if it does not state it.
    """

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.connection: HttpConnection | None = None
        self.n_calls = 0
        self.min_connect_s = float("inf")
        self.epoch: int | None = None

    @property
    def peer(self) -> str:
        """Address of the store for error messages, as ``address:port``."""
        return f"{self.endpoint.address}:{self.endpoint.port}"

    async def list_page(self, prefix: str, after: str) -> StorePage:
        """Return the first page of the items with a prefix after the key `after`."""
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        return await self.call("kv-range", query, READ_TIMEOUT_S)

    async def watch(self, prefix: str, after: int, wait_s: float) -> StorePage:
        """Wait for changes after a revision.

        Returns
        -------
        StorePage
            Changes by revision; none if `wait_s` seconds passed without a change.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes.
        StoreError
            If the call failed.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        return await self.call("kv-watch", query, wait_s + WATCH_MARGIN_S)

    async def call(
        self, name: str, query: dict[str, str], timeout_s: float
    ) -> StorePage:
        """Make one call and return the items of its response, or raise `StoreError`.

        Parameters
        ----------
        name : str
            Name of the call.
        query : dict of str to str
            Its parameters.
        timeout_s : float
            Time without a byte of the response after which the call fails, in
            seconds.
        """
        self.n_calls += 1
        try:
            connection = await self.connect()
            exchange = connection.request(self.encode_request(name, query))
            response = await wait_for_transfer(connection, exchange, timeout_s)
            self.epoch = decode_epoch(response)
            if response.status == 200:
                return decode_page(msgpack.unpackb(response.body), self.epoch)
        except CALL_ERRORS as error:
            self.close()
            raise StoreError(
                step=name,
                peer=self.peer,
                detail=str(error) or "timeout",
                is_disconnected=isinstance(error, ExchangeError)
                and error.step == "receive",
            ) from error
        if response.status == 410:
            raise HistoryLostError(step=name, peer=self.peer, detail="status 410")
        self.close()
        raise StoreError(step=name, peer=self.peer, detail=f"status {response.status}")

    async def measure_delay(self) -> float:
        """Return the shortest time that it took to connect, in seconds.

        Connects before the first call; raises `StoreError` if that fails.
        """
        try:
            await self.connect()
        except ExchangeError as error:
            raise StoreError(
                step="connect", peer=self.peer, detail=error.detail
            ) from error
        return self.min_connect_s

    async def connect(self) -> HttpConnection:
        """Return the persistent connection, or a new one if it cannot be reused."""
        if self.connection is None or not self.connection.is_reusable:
            started_at = time.monotonic()
            self.connection = await connect_http(
                address=self.endpoint.address,
                port=self.endpoint.port,
                timeout_s=CONNECT_TIMEOUT_S,
            )
            self.min_connect_s = min(self.min_connect_s, time.monotonic() - started_at)
            set_keepalive(self.connection.transport.get_extra_info("socket"))
        return self.connection

    def encode_request(self, name: str, query: dict[str, str]) -> bytes:
        """Return the HTTP request of a call."""
        lines = f"GET /v1/{name}?{urlencode(query)} HTTP/1.1\r\nHost: {self.peer}"
        return f"{lines}\r\n\r\n".encode()

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


async def wait_for_transfer(
    connection: HttpConnection,
    exchange: "asyncio.Future[ReceivedResponse]",
    timeout_s: float,
) -> ReceivedResponse:
    """Return the response of an exchange as long as its bytes keep arriving.

    Parameters
    ----------
    connection : HttpConnection
        Connection of the exchange.
    exchange : asyncio.Future of ReceivedResponse
        Exchange in progress.
    timeout_s : float
        Time without a byte after which the transfer fails, in seconds.

    Raises
    ------
    TimeoutError
        If no byte arrives in time, or the whole response takes longer than
        `TRANSFER_TIMEOUT_S` in addition.
    ExchangeError
        If the exchange fails.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    ends_at = started_at + timeout_s + TRANSFER_TIMEOUT_S
    try:
        while not exchange.done():
            silent_since = max(started_at, connection.received_at)
            timeout_at = min(ends_at, silent_since + timeout_s)
            if loop.time() >= timeout_at:
                raise TimeoutError
            await asyncio.wait((exchange,), timeout=timeout_at - loop.time())
        return exchange.result()
    finally:
        exchange.cancel()


def decode_epoch(response: ReceivedResponse) -> int | None:
    """Return the epoch in the headers of a response, or None if there is none.

    Raises
    ------
    ValueError
        If it is not a whole number, or the response has several.
    """
    values = set(response.find_headers(STORE_EPOCH_HEADER))
    if not values:
        return None
    if len(values) > 1 or not EPOCH_FORMAT.fullmatch(value := values.pop()):
        raise ValueError("epoch is not one whole number")
    return int(value)


def decode_page(body: dict[str, Any], epoch: int | None = None) -> StorePage:
    """Return the page in the body of a range or watch response of an epoch."""
    items = body["items"] if "items" in body else body["events"]
    return StorePage(
        items=tuple(decode_item(item) for item in items),
        revision=body["store_revision"],
        has_more=body.get("has_more", False),
        epoch=epoch,
    )


def decode_item(item: dict[str, Any]) -> StoreItem:
    """Return the item in a range item or watch event."""
    is_removed = bool(item.get("tombstone"))
    content = None
    if not is_removed:
        try:
            content = b64decode(item["value"], validate=True)
        except (Base64Error, ValueError, KeyError, TypeError):
            content = None
    return StoreItem(
        key=item["key"],
        revision=item["revision"],
        created_revision=item.get("created", 0),
        content=content,
        is_removed=is_removed,
    )
