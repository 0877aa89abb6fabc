"""Clients of the soak that send requests before earlier ones have been answered."""

import asyncio
import time

from benchmarks.soak.clients import (
    CONNECT_TIMEOUT_S,
    DEADLINE_S,
    LISTENING_S,
    Attempt,
    SoakClient,
    encode_request,
    find_fault,
)
from benchmarks.soak.deployment import KINDS, PORTS, RequestKind
from benchmarks.soak.http import Message, ProtocolError, read_message

__all__ = ["PipeliningClient"]

# Longest pipeline. Nodes stop reading at 16 unanswered requests, and the time in which
# a request is not read does not count for its deadline.
MAX_PIPELINE_SIZE = 8
# Mean pause between two pipelines of one client, in seconds.
MEAN_PAUSE_S = 0.5
# Smaller bodies than those of uploads, so that a whole pipeline is read at once.
MAX_BODY_SIZE = 2_000


class PipeliningClient(SoakClient):
    """Client that sends several requests at once, of all kinds, and repeats none."""

    async def run(self) -> None:
        """Send pipelines until cancelled."""
        kinds = [kind for kind in KINDS if kind.body_size <= MAX_BODY_SIZE]
        weights = [kind.share for kind in kinds]
        try:
            while True:
                pause_s = self.random_source.expovariate(1 / MEAN_PAUSE_S)
                await asyncio.sleep(pause_s)
                size = self.random_source.randint(2, MAX_PIPELINE_SIZE)
                await self.send_pipeline(
                    self.random_source.choices(kinds, weights, k=size)
                )
        finally:
            self.disconnect()

    async def send_pipeline(self, kinds: list[RequestKind]) -> None:
        """Send one request of each kind at once and record the responses in order."""
        sent_at = time.monotonic()
        deadline = sent_at + DEADLINE_S
        requests = []
        for kind in kinds:
            self.n_attempts += 1
            attempt_id = f"{self.name}-{self.n_attempts}"
            requests.append((kind, f"{kind.prefix}{attempt_id}", attempt_id))
        content = b"".join(
            encode_request(*request, deadline=deadline) for request in requests
        )
        is_open = await self.write(content)
        for kind, target, attempt_id in requests:
            response = await self.read(deadline) if is_open else None
            is_open = (
                response is not None
                and "close" not in response.find("connection").lower()
            )
            self.attempts.append(
                Attempt(
                    attempt_id=attempt_id,
                    kind=kind,
                    host=self.host.index,
                    sent_at=sent_at,
                    deadline=deadline,
                    ended_at=time.monotonic(),
                    status=None if response is None else int(response.start_line[1]),
                    fault=""
                    if response is None
                    else find_fault(response, attempt_id, target),
                )
            )
        if not is_open:
            self.disconnect()

    async def write(self, content: bytes) -> bool:
        """Write bytes to the kept connection; return whether that was possible."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                if self.streams is None:
                    self.streams = await asyncio.open_connection(
                        self.host.inner, PORTS.client
                    )
                self.streams[1].write(content)
                await self.streams[1].drain()
        except (OSError, TimeoutError):
            return False
        return True

    async def read(self, deadline: float) -> Message | None:
        """Return the next response, or None if the connection ends before it."""
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + deadline
                + LISTENING_S
                - time.monotonic()
            ):
                return await read_message(self.streams[0])
        except (ProtocolError, OSError, TimeoutError):
            return None
