"""Stand-in of the platform's store, as a process with a control interface.

``POST /soak/put?key=...`` writes a key, ``/soak/beat`` renews a registry entry,
``/soak/remove`` removes a key, ``/soak/status?status=503`` makes all other calls fail,
``/soak/hang?on=1`` leaves them without an answer, ``/soak/compact`` forgets the history
and ``/soak/reset`` aborts all connections.
"""

import asyncio
import time
from argparse import ArgumentParser
from urllib.parse import parse_qs, urlsplit

from benchmarks.soak.deployment import UPSTREAM_PREFIX
from foxtailway.platform.tests.fake_store import FakeStore
from foxtailway.sidecar.http_message import ClientRequest, Response

__all__ = ["SoakStore", "main"]

# Time without a renewal after which the entry of an upstream is removed, in seconds.
ENTRY_TTL_S = 1.5
# Interval at which entries are checked.
EXPIRY_INTERVAL_S = 0.1
# Items of one page; that of the fake store is small, so that tests see several pages.
PAGE_SIZE = 500
CONTROL_PREFIX = "/soak/"


class SoakStore(FakeStore):
    """Store whose entries expire and that fails on command.

    Attributes
    ----------
    renewed_at : dict of str to float
        Monotonic time of the last renewal of each registry entry, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.renewed_at: dict[str, float] = {}

    async def handle(self, request: ClientRequest) -> Response:
        """Return the response to a call, or carry out a command."""
        parts = urlsplit(request.target)
        if not parts.path.startswith(CONTROL_PREFIX):
            return await super().handle(request)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.command(parts.path.removeprefix(CONTROL_PREFIX), query, request.body)
        return Response(status=200)

    def put(self, key: str, content: bytes) -> None:
        """Write a key with the revision at which it was created."""
        created = self.items.get(key, {}).get("created", self.revision + 1)
        super().put(key, content)
        # The event of the write is the same object.
        self.items[key]["created"] = created

    def make_range_response(self, query: dict[str, str]) -> Response:
        """Return one page of the keys with a prefix."""
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        return self.encode(
            items=[self.items[key] for key in keys[:PAGE_SIZE]],
            has_more=len(keys) > PAGE_SIZE,
        )

    def command(self, name: str, query: dict[str, str], body: bytes) -> None:
        """Carry out a command of the control interface."""
        match name:
            case "put":
                self.renewed_at[query["key"]] = time.monotonic()
                self.put(query["key"], body)
            case "beat":
                self.renewed_at[query["key"]] = time.monotonic()
                if query["key"] not in self.items:
                    self.put(query["key"], body)
            case "remove":
                self.remove(query["key"])
            case "status":
                self.status = int(query["status"])
            case "hang":
                self.is_hanging = query["on"] == "1"
            case "compact":
                self.compact()
            case "reset":
                self.close_connections()

    async def expire(self) -> None:
        """Remove the entries that are not renewed, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            oldest = time.monotonic() - ENTRY_TTL_S
            for key in list(self.items):
                if key.startswith(UPSTREAM_PREFIX) and self.renewed_at[key] < oldest:
                    self.remove(key)


async def serve(address: str, port: int) -> None:
    """Serve until the process ends."""
    store = SoakStore()
    await store.listener.listen(address=address, port=port)
    await store.expire()


def main() -> None:
    """Run the store as a process."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    asyncio.run(serve(options.address, options.port))


if __name__ == "__main__":
    main()
