"""Sidecar on the users' platform."""

import argparse
import asyncio
import os
import signal
import sys
from contextlib import suppress
from random import Random

from foxtailway.platform.feed import StoreFeed
from foxtailway.platform.names import HEADER_NAMES, READY_PATH
from foxtailway.platform.settings import SettingsError, SidecarSettings, read_settings
from foxtailway.platform.store import StoreClient
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.node import SidecarNode, StopTimes

__all__ = ["main"]

SETTINGS_VARIABLE = "FOXTAILWAY_SETTINGS"
# Time left of the grace period for closing, in seconds.
STOP_MARGIN_S = 0.8
EXIT_SETTINGS = 2
EXIT_LISTEN = 3


async def serve(settings: SidecarSettings, log: EventLog) -> int:
    """Run a sidecar until SIGTERM and return the exit status."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, log.write, "reload")
    random_source = Random()
    node = SidecarNode(
        settings=settings,
        names=HEADER_NAMES,
        ready_path=READY_PATH,
        log=log,
        random_source=random_source,
    )
    client = StoreClient(endpoint=settings.store)
    feed = StoreFeed(client=client, node=node, random_source=random_source)
    try:
        await node.start()
    except OSError as error:
        log.write("listen_failed", error=error)
        return EXIT_LISTEN
    following = loop.create_task(feed.run())
    log.write("started", zone=settings.zone, service=settings.service)
    await stopped.wait()
    log.write("stopping")
    await node.stop(StopTimes(end_s=settings.grace_s - STOP_MARGIN_S))
    following.cancel()
    with suppress(asyncio.CancelledError):
        await following
    client.close()
    log.write("stopped", n_store_calls=client.n_calls, n_dropped=log.n_dropped)
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        prog="python3 -m foxtailway.platform",
        description="Carry calls beside an upstream on the users' platform.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file (default: the file named by {SETTINGS_VARIABLE})",
    )
    options = parser.parse_args(arguments)
    if options.settings is None:
        parser.error(f"--settings is missing and {SETTINGS_VARIABLE} is not set")
    try:
        settings = read_settings(options.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    log = EventLog(host_id=settings.host_id)
    log.open()
    return asyncio.run(serve(settings, log))
