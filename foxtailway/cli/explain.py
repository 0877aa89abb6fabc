"""Subcommand that explains failed requests from logs of sidecars."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import asdict

from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import print_line
from foxtailway.cli.table import format_table
from foxtailway.explain.cause import count_causes, find_cause
from foxtailway.explain.sidecar_log import (
    LogEvent,
    ParsedLog,
    read_events,
    select_request,
    select_window,
)
from foxtailway.observe.document import encode_json

__all__ = ["ExplainCommand"]

TIMELINE_COLUMNS = ("TIME", "HOST", "EVENT", "INPUTS")
CAUSE_COLUMNS = ("COUNT", "SERVICE", "STATUS", "REASON")


class ExplainCommand(Command):
    """Show the path of a request through the sidecars and the cause of failure."""

    name = "explain"
    summary = "explain failed requests from the logs of sidecars"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for request, log files and output format."""
        parser.add_argument(
            "--request",
            metavar="ID",
            help="identifier of the request to explain; by default, the causes of"
            " all failed requests are counted",
        )
        parser.add_argument(
            "logs",
            metavar="LOG",
            nargs="*",
            help="log files; standard input by default",
        )
        parser.add_argument(
            "--since",
            metavar="TIME",
            type=float,
            default=float("-inf"),
            help="Unix time in seconds before which events are left out",
        )
        parser.add_argument(
            "--until",
            metavar="TIME",
            type=float,
            default=float("inf"),
            help="Unix time in seconds from which on events are left out",
        )
        parser.add_argument(
            "--json", action="store_true", help="print one JSON object per line"
        )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print the timeline and cause of a request, or a table of all causes."""
        try:
            with ExitStack() as stack:
                parsed_log = read_events(read_lines(arguments.logs, stack))
        except OSError as error:
            print_line(f"cannot read the log: {error}")
            return ExitCode.USAGE
        parsed_log = select_window(parsed_log, arguments.since, arguments.until)
        if arguments.request is None:
            print_causes(parsed_log, as_json=arguments.json)
            return ExitCode.OK
        events = select_request(parsed_log.events, arguments.request)
        print_request(events, as_json=arguments.json)
        print_unreadable(parsed_log)
        return ExitCode.OK if events else ExitCode.FINDING


def read_lines(paths: list[str], stack: ExitStack) -> Iterator[str]:
    """Yield the lines of the files, or of standard input without files."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        yield from stack.enter_context(open(path, encoding="utf-8", errors="replace"))


def print_request(events: tuple[LogEvent, ...], *, as_json: bool) -> None:
    """Print the timeline of a request and the cause of its failure."""
    cause = find_cause(events)
    if as_json:
        document = {"events": [asdict(event) for event in events], "cause": cause}
        print_line(encode_json(document).decode())
        return
    rows = [
        (f"{event.time_s:.3f}", event.host, event.event, format_inputs(event))
        for event in events
    ]
    for line in format_table(TIMELINE_COLUMNS, rows):
        print_line(line)
    print_line(f"cause: {cause}")


def format_inputs(event: LogEvent) -> str:
    """Return the fields of an event as space-separated ``name=value`` pairs."""
    return " ".join(f"{name}={value}" for name, value in event.fields.items())


def print_causes(parsed_log: ParsedLog, *, as_json: bool) -> None:
    """Print the number of occurrences of each cause, most frequent first."""
    causes = count_causes(parsed_log.events).most_common()
    if as_json:
        for (service, status, reason), count in causes:
            row = {
                "count": count,
                "service": service,
                "status": status,
                "reason": reason,
            }
            print_line(encode_json(row).decode())
        return
    rows = [(str(count), *cause) for cause, count in causes]
    for line in format_table(CAUSE_COLUMNS, rows):
        print_line(line)
    print_unreadable(parsed_log)


def print_unreadable(parsed_log: ParsedLog) -> None:
    """Print the number of lines that contain no event, if any."""
    if parsed_log.n_unreadable:
        print_line(f"{parsed_log.n_unreadable} lines could not be read")
