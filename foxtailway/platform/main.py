"""Command line of the sidecar on the users' platform."""

import argparse
import asyncio
import os
import signal
import sys
from contextlib import suppress
from random import Random

from foxtailway.platform.names import HEADER_NAMES, READY_PATH
from foxtailway.platform.settings import SettingsError, read_settings
from foxtailway.platform.store import StoreClient
from foxtailway.platform.store_watcher import StoreWatcher
from foxtailway.sidecar.log import EventLog
from foxtailway.sidecar.memory_account import limit_heap_retention
from foxtailway.sidecar.node import SidecarNode, StopTimes
from foxtailway.sidecar.settings import Endpoint, SidecarSettings

__all__ = ["main"]

SETTINGS_VARIABLE = "FOXTAILWAY_SETTINGS"
# Part of the grace period that is reserved for closing connections.
STOP_MARGIN_S = 0.8
# Interval at which the modification time of the settings file is checked.
SETTINGS_CHECK_INTERVAL_S = 1.0
# Exit status for invalid settings.
EXIT_SETTINGS = 2
# Exit status if a port is unavailable.
EXIT_LISTEN = 3


class SidecarProcess:
    """Process of one sidecar, from start to graceful stop.

    Parameters
    ----------
    path : str
        Path of the settings file, which is read again on SIGHUP and when it changes.
    settings : SidecarSettings
        Settings at the start.
    metrics_port : int or None
        Port on which metrics are served; None disables them.
    log : EventLog
        Log that events are written to.
    """

    def __init__(
        self,
        *,
        path: str,
        settings: SidecarSettings,
        metrics_port: int | None,
        log: EventLog,
    ) -> None:
        self.metrics_endpoint = None
        if metrics_port is not None:
            address = settings.ready_listener.address
            self.metrics_endpoint = Endpoint(address=address, port=metrics_port)
        self.path = path
        self.settings = settings
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.modified_at_ns = get_modification_time_ns(path)
        random_source = Random()
        self.node = SidecarNode(
            settings=settings,
            names=HEADER_NAMES,
            ready_path=READY_PATH,
            log=log,
            random_source=random_source,
        )
        self.client = StoreClient(endpoint=settings.store)
        self.watcher = StoreWatcher(
            client=self.client,
            node=self.node,
            random_source=random_source,
            is_first_start=settings.is_first_start,
        )

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT and return the exit status."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        # The file may have changed since it was read, and the signal is ignored before.
        self.reload()
        try:
            await self.node.start(metrics_endpoint=self.metrics_endpoint)
        except OSError as error:
            self.log.write("listen_failed", error=error)
            return EXIT_LISTEN
        tasks = (
            self.loop.create_task(self.watcher.run()),
            self.loop.create_task(self.watch_settings()),
        )
        settings = self.settings
        self.log.write("started", zone=settings.zone, service=settings.service)
        await self.stop_requested.wait()
        self.log.write("stopping")
        await self.node.stop(StopTimes(end_s=self.settings.grace_s - STOP_MARGIN_S))
        for task in tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self.client.close()
        self.log.write(
            "stopped", n_store_calls=self.client.n_calls, n_dropped=self.log.n_dropped
        )
        return 0

    async def watch_settings(self) -> None:
        """Reload the settings when their file changes, until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            try:
                if get_modification_time_ns(self.path) != self.modified_at_ns:
                    self.reload()
            except Exception as error:
                self.log.write_error("reload", error)

    def reload(self) -> None:
        """Apply changed settings; changes of listeners need a restart.

        If the settings file is invalid, the previous settings stay in force.
        """
        self.modified_at_ns = get_modification_time_ns(self.path)
        try:
            settings = read_settings(self.path)
        except SettingsError as error:
            self.log.write("reload_failed", error=error)
            return
        is_changed = settings != self.settings
        self.log.write("reload", is_changed=is_changed)
        if is_changed:
            if settings.zone_regions != self.settings.zone_regions:
                # Evacuations of zones that were unknown so far are in force now.
                self.watcher.is_listing_needed = True
            self.settings = settings
            self.client.endpoint = settings.store
            self.node.reconfigure(settings)


def get_modification_time_ns(path: str) -> int:
    """Return the modification time of a file in nanoseconds, or 0 without a file."""
    try:
        return os.stat(path).st_mtime_ns
    except FileNotFoundError:
        return 0


async def serve(
    path: str, settings: SidecarSettings, metrics_port: int | None, log: EventLog
) -> int:
    """Run a sidecar and return the exit status."""
    process = SidecarProcess(
        path=path, settings=settings, metrics_port=metrics_port, log=log
    )
    return await process.run()


def main(arguments: list[str] | None = None) -> int:
    """Run the sidecar with command-line arguments and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python3 -m foxtailway.platform",
        description="Run the sidecar of an upstream on the users' platform.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file (default: the file named by {SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        help="port on which metrics are served (default: metrics are not served)",
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
    limit_heap_retention()
    return asyncio.run(serve(options.settings, settings, options.metrics_port, log))
