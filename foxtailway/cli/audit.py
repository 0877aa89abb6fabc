"""Subcommand that shows the audit trail of a node."""

import asyncio
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from contextlib import closing
from datetime import UTC, datetime

from expression import Result

from foxtailway.cli.admin_client import AdminAddress, AdminClient, parse_address
from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import print_error, print_line
from foxtailway.cli.node_report import AuditReport, AuditReportEntry
from foxtailway.cli.table import format_table
from foxtailway.common.failure import Failure
from foxtailway.observe.document import encode_json

__all__ = ["AuditCommand"]

COLUMNS = (
    "SEQUENCE",
    "TIME",
    "TIMES",
    "ACTION",
    "KIND",
    "VERSION",
    "FROM",
    "CHANGES",
    "REASON",
)


class AuditCommand(Command):
    """Show the versions that a node applied, rejected or refused."""

    name = "audit"
    summary = "show the audit trail of a node"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for address, first entry and output format."""
        parser.add_argument(
            "address",
            metavar="HOST:PORT",
            type=parse_address,
            help="admin port of a node",
        )
        parser.add_argument(
            "--since",
            metavar="SEQUENCE",
            type=int,
            default=0,
            help="show only the entries after this sequence number",
        )
        parser.add_argument(
            "--json", action="store_true", help="print one JSON object per entry"
        )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print the entries that the node stores, oldest first."""
        since = max(0, arguments.since)
        fetched = asyncio.run(fetch_audit_report(arguments.address, since=since))
        if fetched.is_error():
            print_error(fetched.error)
            return ExitCode.FINDING
        entries = fetched.ok.entries
        if arguments.json:
            for entry in entries:
                print_line(encode_json(entry).decode())
            return ExitCode.OK
        print_entries(entries)
        n_recorded = fetched.ok.n_recorded
        print_line(f"{len(entries)} of {n_recorded} entries since the node started")
        return ExitCode.OK


async def fetch_audit_report(
    address: AdminAddress, *, since: int
) -> Result[AuditReport, Failure]:
    """Return the audit entries of one node, or the failure to obtain them."""
    with closing(AdminClient()) as client:
        return await client.fetch_audit(address, since=since)


def print_entries(entries: Sequence[AuditReportEntry]) -> None:
    """Print audit entries as a table."""
    for line in format_table(COLUMNS, [make_row(entry) for entry in entries]):
        print_line(line)


def make_row(entry: AuditReportEntry) -> tuple[str, ...]:
    """Return the table cells of an audit entry."""
    time = datetime.fromtimestamp(entry.time_s, tz=UTC)
    changes = [*entry.changed_keys, *(f"route {name}" for name in entry.changed_routes)]
    return (
        str(entry.sequence),
        time.isoformat(timespec="milliseconds"),
        str(entry.n_times),
        entry.action,
        entry.kind,
        entry.version,
        entry.delivered_by,
        ", ".join(changes),
        entry.reason,
    )
