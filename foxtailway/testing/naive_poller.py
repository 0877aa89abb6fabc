"""Naive baseline: every proxy polls the platform for the whole configuration.

One process plays the proxies of a region. Each one watches the platform and
fetches every value of the configuration and of the host list whenever the
revision has moved.
"""

import asyncio
import json
import time
from argparse import ArgumentParser

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.escape import json_decode

__all__ = ["poll"]

WATCH_S = 20
RETRY_S = 0.5


async def poll(client: CurlAsyncHTTPClient, url: str, *, poller: int = 0) -> None:
    """Play one proxy until cancelled; print a line for each whole copy."""
    since = 0
    while True:
        watch = await client.fetch(
            f"{url}/v1/changes?prefix=&since={since}&wait={WATCH_S}",
            request_timeout=WATCH_S + 10,
            raise_error=False,
        )
        if watch.code != 200:
            await asyncio.sleep(RETRY_S)
            continue
        revision = json_decode(watch.body)["revision"]
        if revision == since:
            continue
        since = revision
        listing = await client.fetch(f"{url}/v1/changes?prefix=&since=0&wait=0")
        for change in json_decode(listing.body)["changes"]:
            if not change["deleted"]:
                await client.fetch(
                    f"{url}/v1/values/{change['key']}", raise_error=False
                )
        line = {"poller": poller, "revision": revision, "time_s": time.time()}
        print(json.dumps(line), flush=True)


async def serve() -> None:
    """Play all proxies until the process is ended."""
    parser = ArgumentParser(description="Naive pollers of the platform.")
    parser.add_argument("--url", required=True)
    parser.add_argument("--n-pollers", type=int, required=True)
    arguments = parser.parse_args()
    client = CurlAsyncHTTPClient(
        force_instance=True, max_clients=arguments.n_pollers * 2
    )
    await asyncio.gather(
        *(
            poll(client, arguments.url, poller=index)
            for index in range(arguments.n_pollers)
        )
    )


if __name__ == "__main__":
    asyncio.run(serve())
