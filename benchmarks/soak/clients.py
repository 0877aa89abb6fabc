"""Clients of the soak and the record of what they saw."""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from benchmarks.soak.deployment import (
    KINDS,
    PORTS,
    ROUTED_HOST,
    RequestKind,
    SoakHost,
)
from benchmarks.soak.http import Message, ProtocolError, encode, read_message
from benchmarks.soak.upstream import compute_seal

__all__ = ["Attempt", "SoakClient", "encode_request", "find_fault"]

# Times that clients wait for a response, in seconds, and their spread.
DEADLINE_S = 1.5
DEADLINE_SPREAD = 0.15
# Time beyond its deadline for which a client listens, so that late responses are seen.
LISTENING_S = 1.0
# Time within which a connection has to be established, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Mean pause between two requests of one client, in seconds.
MEAN_PAUSE_S = 0.1
# Statuses that promise that the request has not run.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt of a client.

    Parameters
    ----------
    attempt_id : str
        Identifier, unique in the soak.
    kind : RequestKind
        Kind of request.
    host : int
        Number of the host whose node it was sent to.
    sent_at, deadline, ended_at : float
        Monotonic times in seconds.
    status : int or None
        Status of the response; None without a whole one.
    fault : str
        What is wrong with the response; empty if nothing is.
    """

    attempt_id: str
    kind: RequestKind
    host: int
    sent_at: float
    deadline: float
    ended_at: float
    status: int | None
    fault: str = ""

    @property
    def is_served(self) -> bool:
        """Whether the client got a success before its deadline."""
        return self.status == 200 and self.ended_at <= self.deadline

    @property
    def is_promised(self) -> bool:
        """Whether the client was told that the request has not run."""
        return self.status in PROMISE_STATUSES


class SoakClient:
    """Client that keeps a connection to one node as long as it lasts.

    Parameters
    ----------
    host : SoakHost
        Host of the node.
    name : str
        Prefix of the identifiers of its requests.
    random_source : Random
        Source of pauses and kinds.
    attempts : list of Attempt
        Record to which each attempt is appended.
    """

    def __init__(
        self,
        *,
        host: SoakHost,
        name: str,
        random_source: Random,
        attempts: list[Attempt],
    ) -> None:
        self.host = host
        self.name = name
        self.random_source = random_source
        self.attempts = attempts
        self.n_attempts = 0
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send requests until cancelled; a request that was refused returns once."""
        weights = [kind.share for kind in KINDS]
        try:
            while True:
                pause_s = self.random_source.expovariate(1 / MEAN_PAUSE_S)
                await asyncio.sleep(pause_s)
                (kind,) = self.random_source.choices(KINDS, weights)
                spread = self.random_source.uniform(-DEADLINE_SPREAD, DEADLINE_SPREAD)
                deadline = time.monotonic() + DEADLINE_S * (1 + spread)
                target = f"{kind.prefix}{self.name}-{self.n_attempts}"
                retry_after_s = await self.send(kind, target, deadline)
                if retry_after_s is not None:
                    await asyncio.sleep(retry_after_s)
                    self.disconnect()
                    await self.send(kind, target, deadline)
        finally:
            self.disconnect()

    def disconnect(self) -> None:
        """Close the connection if there is one."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def send(
        self, kind: RequestKind, target: str, deadline: float
    ) -> float | None:
        """Send one attempt and record it; return when it may be repeated."""
        self.n_attempts += 1
        attempt_id = f"{self.name}-{self.n_attempts}"
        sent_at = time.monotonic()
        response, fault = None, ""
        try:
            async with asyncio.timeout(deadline + LISTENING_S - sent_at):
                response = await self.exchange(kind, target, attempt_id, deadline)
                fault = find_fault(response, attempt_id, target)
        except (ProtocolError, OSError, TimeoutError):
            pass
        if response is None or "close" in response.find("connection").lower():
            self.disconnect()
        attempt = Attempt(
            attempt_id=attempt_id,
            kind=kind,
            host=self.host.index,
            sent_at=sent_at,
            deadline=deadline,
            ended_at=time.monotonic(),
            status=None if response is None else int(response.start_line[1]),
            fault=fault,
        )
        self.attempts.append(attempt)
        if not attempt.is_promised or time.monotonic() >= deadline:
            return None
        with suppress(ValueError):
            return min(
                float(response.find("retry-after")), (deadline - time.monotonic()) / 3
            )
        return None

    async def exchange(
        self, kind: RequestKind, target: str, attempt_id: str, deadline: float
    ) -> Message:
        """Send a request on the kept connection and return the response."""
        if self.streams is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.streams = await asyncio.open_connection(
                    self.host.inner, PORTS.client
                )
        reader, writer = self.streams
        writer.write(encode_request(kind, target, attempt_id, deadline=deadline))
        await writer.drain()
        return await read_message(reader)


def encode_request(
    kind: RequestKind, target: str, attempt_id: str, *, deadline: float
) -> bytes:
    """Return the bytes of a request with a deadline."""
    headers = {
        "Host": ROUTED_HOST,
        "Attempt-Id": attempt_id,
        "Deadline-Remaining": str(int((deadline - time.monotonic()) * 1000)),
    }
    body = b"x" * kind.body_size
    return encode(f"{kind.method} {target} HTTP/1.1", headers, body)


def find_fault(response: Message, attempt_id: str, target: str) -> str:
    """Return what is wrong with a response; an empty string if nothing is."""
    if not response.start_line[1].isdigit():
        return f"not a response: {response.start_line}"
    received_ids = response.headers.get("attempt-id", [])
    if any(received_id != attempt_id for received_id in received_ids):
        return f"response to another request: {received_ids}"
    if response.start_line[1] != "200":
        return ""
    if response.find("response-seal") != compute_seal(response.body):
        return "success without the signature of its body"
    if not response.body.startswith(f"{attempt_id} {target} ".encode()):
        return "body of another request"
    return ""
