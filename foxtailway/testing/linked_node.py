"""Node whose streams to other regions cross the link's stand-in."""

import sys
from argparse import ArgumentParser
from pathlib import Path

from foxtailway.node.main import make_daemon, make_dialer, run_daemon, run_logged
from foxtailway.settings.model import NodeSettings
from foxtailway.testing.deployment import LINK_PORT
from foxtailway.testing.link import LinkDialer

__all__ = ["main"]


def make_link_dialer(
    settings: NodeSettings, link_address: str, label: str
) -> LinkDialer:
    """Return a dialer for which every other second octet is remote."""
    own_octet = settings.host.address.split(".")[1]
    return LinkDialer(
        inner=make_dialer(settings),
        is_remote=lambda address: address.split(".")[1] != own_octet,
        link_address=link_address,
        link_port=LINK_PORT,
        label=label,
    )


async def run_linked(settings: NodeSettings, link_address: str) -> None:
    """Compose and run a node."""
    daemon = make_daemon(
        settings,
        control_dialer=make_link_dialer(settings, link_address, "control"),
        call_dialer=make_link_dialer(settings, link_address, "calls"),
    )
    await run_daemon(daemon)


def main() -> int:
    """Run the node and return the exit code."""
    parser = ArgumentParser(description="Node behind a link.")
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--link-address", required=True)
    arguments = parser.parse_args()

    async def run(settings: NodeSettings) -> None:
        await run_linked(settings, arguments.link_address)

    return run_logged(arguments.settings, run)


if __name__ == "__main__":
    sys.exit(main())
