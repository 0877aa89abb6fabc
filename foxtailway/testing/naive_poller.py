"""Baseline in which every proxy polls the platform for the whole configuration.

One process simulates the proxies of a region. Each proxy watches the platform and
fetches every value of the configuration and of the host list whenever the
revision changes.
"""

import asyncio
import json
import time
from argparse import ArgumentParser

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.escape import json_decode

__all__ = ["poll"]

# Longest time that the platform may hold a watch without a change.
WATCH_S = 20
# Delay after a failed watch.
RETRY_DELAY_S = 0.5


async def poll(client: CurlAsyncHTTPClient, url: str, *, poller: int = 0) -> None:
    """Simulate one proxy until cancelled; print a JSON line for each complete copy.

    Parameters
    ----------
    client : CurlAsyncHTTPClient
        Client for the calls to the platform.
    url : str
        Base URL of the platform.
    poller : int, default=0
        Number of the proxy in the output.
    """
    since = 0
    while True:
        watch = await client.fetch(
            f"{url}/v1/changes?prefix=&since={since}&wait={WATCH_S}",
            request_timeout=WATCH_S + 10,
            raise_error=False,
        )
        if watch.code != 200:
            await asyncio.sleep(RETRY_DELAY_S)
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
    """Simulate all proxies until the process ends."""
    parser = ArgumentParser(
        description="Proxies that poll the platform for the whole configuration."
    )
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
