"""Entry point of the operator command, ``foxtailway``."""

import sys
from argparse import ArgumentParser
from collections.abc import Sequence

from foxtailway.cli.audit import AuditCommand
from foxtailway.cli.check import CheckCommand
from foxtailway.cli.command import Command
from foxtailway.cli.diff import DiffCommand
from foxtailway.cli.explain import ExplainCommand
from foxtailway.cli.render import RenderCommand
from foxtailway.cli.status import StatusCommand
from foxtailway.cli.wait import WaitCommand

__all__ = ["main"]

# Exit code that shells report for a process ended by SIGINT.
EXIT_INTERRUPTED = 130
COMMANDS: tuple[Command, ...] = (
    CheckCommand(),
    RenderCommand(),
    DiffCommand(),
    StatusCommand(),
    AuditCommand(),
    WaitCommand(),
    ExplainCommand(),
)


def make_parser() -> ArgumentParser:
    """Return the parser with all subcommands."""
    parser = ArgumentParser(
        prog="foxtailway",
        description="Check and watch the configuration of a foxtailway mesh.",
        epilog="Exit codes: 0 success, 1 findings or failures, 2 wrong usage.",
    )
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name, help=command.summary, description=command.summary
        )
        command.configure(subparser)
        subparser.set_defaults(command=command)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the operator command and return its exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command-line arguments; those of the process by default.

    Returns
    -------
    int
        0 for success, 1 for findings or failures, 2 for wrong usage, 130 when
        interrupted.
    """
    parsed = make_parser().parse_args(arguments)
    try:
        return int(parsed.command.run(parsed))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
