"""Subcommand that waits until a version is in force."""

import asyncio
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from collections.abc import Sequence
from contextlib import closing

from expression import Result

from foxtailway.cli.admin_client import AdminAddress, AdminClient, parse_address
from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import print_line
from foxtailway.cli.node_report import NodeReport, ReportedVersion, parse_version
from foxtailway.common.clock import Clock, MonotonicClock
from foxtailway.common.failure import Failure
from foxtailway.config.schema import DURATION_UNITS
from foxtailway.config.value_kind import UnitKind

__all__ = ["WaitCommand", "wait_for_version"]

# Time between two rounds of requests.
POLL_INTERVAL_S = 0.2
DEFAULT_TIMEOUT_S = 30.0
# Missing nodes that a progress line names; the others are only counted.
MAX_LISTED_NODES = 8
TIMEOUT_KIND = UnitKind(
    lowest="0s", highest="24h", units=DURATION_UNITS, is_integer=False
)


def parse_version_argument(text: str) -> ReportedVersion:
    """Return a version; raise ArgumentTypeError for malformed text."""
    version = parse_version(text)
    if version is None:
        detail = "is not GENERATION.REVISION or GENERATION.REVISION-DIGEST"
        raise ArgumentTypeError(f"{text!r} {detail}")
    return version


def parse_timeout(text: str) -> float:
    """Return a duration in seconds; raise ArgumentTypeError for malformed text."""
    timeout = TIMEOUT_KIND.parse(text)
    if timeout.is_error():
        raise ArgumentTypeError(str(timeout.error))
    return timeout.ok


class WaitCommand(Command):
    """Wait until a version or a newer one is in force on all nodes."""

    name = "wait"
    summary = "wait until a version or a newer one is in force on all nodes"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for version, timeout and addresses."""
        parser.add_argument(
            "--version",
            metavar="V",
            type=parse_version_argument,
            required=True,
            help="version as printed by status; the digest is optional",
        )
        parser.add_argument(
            "--timeout",
            metavar="DURATION",
            type=parse_timeout,
            default=DEFAULT_TIMEOUT_S,
            help="maximum wait, 30s by default",
        )
        parser.add_argument(
            "addresses",
            metavar="HOST:PORT",
            type=parse_address,
            nargs="+",
            help="admin port of a node",
        )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print the progress; return FINDING if a node still lacks the version."""
        is_in_force = asyncio.run(
            wait_for_version(
                arguments.version,
                addresses=arguments.addresses,
                timeout_s=arguments.timeout,
                clock=MonotonicClock(),
            )
        )
        return ExitCode.OK if is_in_force else ExitCode.FINDING


async def wait_for_version(
    version: ReportedVersion,
    *,
    addresses: Sequence[AdminAddress],
    timeout_s: float,
    clock: Clock,
) -> bool:
    """Poll nodes until a version is in force on all or the timeout expires.

    Parameters
    ----------
    version : ReportedVersion
        Version to wait for; a newer one is also accepted.
    addresses : sequence of AdminAddress
        Admin ports of the nodes.
    timeout_s : float
        Maximum wait, in seconds.
    clock : Clock
        Clock that measures the wait.

    Returns
    -------
    bool
        Whether the version is in force on all nodes.
    """
    start_s = clock.now()
    printed_text = ""
    with closing(AdminClient(timeout_s=max(POLL_INTERVAL_S, timeout_s))) as client:
        while True:
            results = await client.fetch_nodes(addresses)
            missing = list_missing(version, addresses, results)
            elapsed_s = clock.now() - start_s
            n_in_force = len(addresses) - len(missing)
            progress = f"{version} in force on {n_in_force} of {len(addresses)}"
            text = f"{progress}{format_missing(missing)}"
            is_finished = not missing or elapsed_s >= timeout_s
            if text != printed_text or is_finished:
                print_line(f"{elapsed_s:.1f}s: {text}")
            printed_text = text
            if is_finished:
                return not missing
            await asyncio.sleep(min(POLL_INTERVAL_S, timeout_s - elapsed_s))


def list_missing(
    version: ReportedVersion,
    addresses: Sequence[AdminAddress],
    results: Sequence[Result[NodeReport, Failure]],
) -> list[str]:
    """Return a description of each node that lacks a version."""
    missing = []
    for address, result in zip(addresses, results, strict=True):
        if result.is_error():
            missing.append(f"{address} ({result.error.kind.value})")
        elif not version.is_satisfied_by(result.ok.config_version):
            missing.append(f"{result.ok.host_id} ({describe_node(version, result.ok)})")
    return missing


def describe_node(version: ReportedVersion, report: NodeReport) -> str:
    """Return the version in force, or the rejection of `version` or a newer one."""
    rejection = report.last_rejection
    if rejection is not None and rejection.version.sort_key >= version.sort_key:
        return f"rejected {rejection.version}: {rejection.reason}"
    applied = report.config_version
    return "no version" if applied is None else str(applied)


def format_missing(missing: Sequence[str]) -> str:
    """Return the part of a progress line that lists the missing nodes."""
    if not missing:
        return ""
    listed = "; ".join(missing[:MAX_LISTED_NODES])
    n_more = len(missing) - MAX_LISTED_NODES
    return f", missing: {listed}" + (f"; {n_more} more" if n_more > 0 else "")
