"""Subcommand that shows the status of nodes."""

import asyncio
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from contextlib import closing

from foxtailway.cli.admin_client import AdminAddress, AdminClient, parse_address
from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import print_line
from foxtailway.cli.fleet import NodeFinding, compare_nodes
from foxtailway.cli.table import format_table
from foxtailway.observe.document import encode_json

__all__ = ["StatusCommand"]

COLUMNS = (
    "HOST",
    "ZONE",
    "ROLE",
    "CONFIG",
    "HOSTS",
    "PARENT",
    "HOPS",
    "CHILDREN",
    "CONFIRMED",
    "READY",
    "NOTES",
)
# Cell of a value that is unknown.
ABSENT = "-"


class StatusCommand(Command):
    """Show the status of nodes and why some lack the newest configuration."""

    name = "status"
    summary = "show versions, parents, children and last confirmation of nodes"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for addresses and output format."""
        parser.add_argument(
            "addresses",
            metavar="HOST:PORT",
            type=parse_address,
            nargs="+",
            help="admin port of a node",
        )
        parser.add_argument(
            "--json",
            action="store_true",
            help="print one JSON array instead of a table",
        )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print one row per node; return FINDING if any node has a problem."""
        findings = asyncio.run(fetch_findings(arguments.addresses))
        if arguments.json:
            print_line(encode_json(findings).decode())
        else:
            print_table(findings)
        has_problem = any(finding.problems for finding in findings)
        return ExitCode.FINDING if has_problem else ExitCode.OK


async def fetch_findings(
    addresses: Sequence[AdminAddress],
) -> tuple[NodeFinding, ...]:
    """Request the status of all nodes and return one finding per node."""
    with closing(AdminClient()) as client:
        return compare_nodes(addresses, await client.fetch_nodes(addresses))


def print_table(findings: Sequence[NodeFinding]) -> None:
    """Print findings as a table with a summary line."""
    for line in format_table(COLUMNS, [make_row(finding) for finding in findings]):
        print_line(line)
    n_problems = sum(1 for finding in findings if finding.problems)
    n_behind = sum(1 for finding in findings if finding.is_behind)
    print_line(f"{len(findings)} nodes, {n_behind} behind, {n_problems} with a problem")


def make_row(finding: NodeFinding) -> tuple[str, ...]:
    """Return the table cells of a node."""
    notes = "; ".join(finding.problems + finding.remarks)
    report = finding.report
    if report is None:
        return (finding.address, *[ABSENT] * (len(COLUMNS) - 2), notes)
    age_s = report.confirmed_age_s
    return (
        report.host_id,
        report.zone,
        report.role,
        format_cell(report.config_version),
        format_cell(report.hosts_version),
        format_cell(report.parent),
        format_cell(report.n_hops),
        format_cell(report.n_children),
        ABSENT if age_s is None else f"{age_s:.1f}s",
        "yes" if report.is_ready and not report.is_stopping else "no",
        notes,
    )


def format_cell(value: object) -> str:
    """Return a value as text, or a dash for None."""
    return ABSENT if value is None else str(value)
