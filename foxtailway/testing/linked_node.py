"""Node that reaches hosts of other regions through the simulated link."""

import asyncio
import signal
import sys
from argparse import ArgumentParser
from pathlib import Path

from foxtailway.node.daemon import NodeDaemon
from foxtailway.node.main import make_daemon, make_dialer, run_with_settings
from foxtailway.settings.loader import load_settings
from foxtailway.settings.model import NodeSettings
from foxtailway.testing.deployment import LINK_PORT
from foxtailway.testing.link import LinkDialer

__all__ = ["main"]


def make_link_dialer(
    settings: NodeSettings, link_address: str, label: str
) -> LinkDialer:
    """Return a dialer that uses the link for hosts of other regions.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node. The second octet of an address identifies the region;
        an address with another one than the node's address is remote.
    link_address : str
        IP address of the link process.
    label : str
        Counter of the link for the dialer's bytes: ``control`` or ``calls``.
    """
    region_octet = settings.host.address.split(".")[1]
    return LinkDialer(
        inner=make_dialer(settings),
        is_remote=lambda address: address.split(".")[1] != region_octet,
        link_address=link_address,
        link_port=LINK_PORT,
        label=label,
    )


def make_linked_daemon(settings: NodeSettings, link_address: str) -> NodeDaemon:
    """Return a node that uses the link for control streams and for calls."""
    return make_daemon(
        settings,
        control_dialer=make_link_dialer(settings, link_address, "control"),
        call_dialer=make_link_dialer(settings, link_address, "calls"),
    )


async def run_daemons(daemons: list[NodeDaemon]) -> None:
    """Run several nodes on the current event loop until SIGTERM."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    for daemon in daemons:
        await daemon.start()
    await stopping.wait()
    await asyncio.gather(*(daemon.stop() for daemon in daemons))


def main() -> int:
    """Run one or several nodes in this process and return the exit code."""
    parser = ArgumentParser(
        description="Nodes that reach other regions through the simulated link."
    )
    parser.add_argument("--settings", type=Path, action="append", required=True)
    parser.add_argument("--link-address", required=True)
    arguments = parser.parse_args()
    first_path, *other_paths = arguments.settings

    async def run(settings: NodeSettings) -> None:
        others = [load_settings(path).ok for path in other_paths]
        daemons = [
            make_linked_daemon(item, arguments.link_address)
            for item in (settings, *others)
        ]
        await run_daemons(daemons)

    return run_with_settings(first_path, run)


if __name__ == "__main__":
    sys.exit(main())
