"""Entry point of the node daemon, ``foxtailway-node``."""

import asyncio
import signal
import sys
from argparse import ArgumentParser
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random

from logbook import Logger
from logbook.compat import redirected_logging

from foxtailway.common.clock import MonotonicClock
from foxtailway.common.failure import Failure, FailureKind, Step
from foxtailway.config.generation import read_generation
from foxtailway.node.daemon import NodeDaemon, make_codec
from foxtailway.node.observer import NodeObserver
from foxtailway.observe.audit import AuditTrail
from foxtailway.observe.log import log_failure, make_log_handler
from foxtailway.observe.metrics import NodeMetrics
from foxtailway.settings.loader import load_settings
from foxtailway.settings.model import NodeSettings
from foxtailway.source.bundle_collector import SourceBundleCollector
from foxtailway.source.http_reader import HttpSourceReader
from foxtailway.transport.stream import Dialer, TcpDialer

__all__ = ["main", "make_daemon", "make_dialer", "run_daemon", "run_with_settings"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def make_dialer(settings: NodeSettings) -> TcpDialer:
    """Return a dialer that binds its sockets to the address of the host."""
    return TcpDialer(
        codec=make_codec(),
        max_message_size=settings.calls.max_message_size,
        source_address=settings.host.address,
    )


def make_daemon(
    settings: NodeSettings, *, control_dialer: Dialer, call_dialer: Dialer
) -> NodeDaemon:
    """Return a node that is built from its settings but not started.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    control_dialer, call_dialer : Dialer
        Dialers of the streams for distribution and for calls.
    """
    clock = MonotonicClock()
    reader = HttpSourceReader(
        settings=settings.platform, source_address=settings.host.address
    )
    observer = NodeObserver(
        trail=AuditTrail(size=settings.audit_size, clock=clock),
        metrics=NodeMetrics(host_id=settings.host.host_id),
        logger=Logger("node"),
    )
    collector = SourceBundleCollector(
        reader=reader,
        clock=clock,
        read_generation=read_generation,
        held_version=observer.find_version,
    )
    daemon = NodeDaemon(
        settings=settings,
        clock=clock,
        random_source=Random(),
        control_dialer=control_dialer,
        call_dialer=call_dialer,
        collector=collector,
        observer=observer,
    )
    daemon.exit_stack.callback(reader.close)
    return daemon


async def run_daemon(daemon: NodeDaemon) -> None:
    """Run a node until SIGTERM or SIGINT, then stop it gracefully.

    Raises
    ------
    OSError
        When the node cannot listen on one of its ports.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with daemon.exit_stack:
        await daemon.start()
        await stopping.wait()
        await daemon.stop()


async def run_node(settings: NodeSettings) -> None:
    """Run a node with TCP dialers until it is stopped by a signal."""
    dialer = make_dialer(settings)
    daemon = make_daemon(settings, control_dialer=dialer, call_dialer=dialer)
    await run_daemon(daemon)


def main() -> int:
    """Run the daemon and return the exit code."""
    parser = ArgumentParser(
        prog="foxtailway-node", description="Node of a foxtailway mesh."
    )
    parser.add_argument("--settings", type=Path, required=True, help="INI file")
    arguments = parser.parse_args()
    return run_with_settings(arguments.settings, run_node)


def run_with_settings(
    path: Path, run: Callable[[NodeSettings], Coroutine[None, None, None]]
) -> int:
    """Load settings and run a node that logs JSON lines to standard error.

    Parameters
    ----------
    path : Path
        Settings file.
    run : callable
        Coroutine function that runs the node until it is stopped.

    Returns
    -------
    int
        Exit code: 0 after a graceful stop, 1 when the node cannot listen on one
        of its ports, 2 when the settings are invalid. Findings in the settings
        are printed to standard error.
    """
    loaded = load_settings(path)
    if loaded.is_error():
        for finding in loaded.error:
            print(finding, file=sys.stderr)
        return EXIT_USAGE
    settings = loaded.ok
    handler = make_log_handler(host_id=settings.host.host_id, level=settings.log_level)
    with handler.applicationbound(), redirected_logging():
        try:
            asyncio.run(run(settings))
        except OSError as error:
            log_failure(
                Logger("node"),
                make_listen_failure(settings, error),
                action="node cannot listen on its ports",
            )
            return EXIT_FAILED
    return EXIT_OK


def make_listen_failure(settings: NodeSettings, error: OSError) -> Failure:
    """Return the failure of a node that cannot listen on its ports."""
    return Failure(
        step=Step.LISTEN,
        kind=FailureKind.UNAVAILABLE,
        peer=settings.host.address,
        detail=str(error),
    )


if __name__ == "__main__":
    sys.exit(main())
