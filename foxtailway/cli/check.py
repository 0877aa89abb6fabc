"""Subcommand that checks a configuration before it is published."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import (
    load_configuration,
    print_error,
    print_findings,
    print_line,
)

__all__ = ["CheckCommand"]


class CheckCommand(Command):
    """Validate a base file and its overlays with the rules of the nodes."""

    name = "check"
    summary = "check a base file with its overlays"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the paths of the files."""
        parser.add_argument(
            "base",
            metavar="BASE",
            type=Path,
            help="base file or the directory that holds it",
        )
        parser.add_argument(
            "--overlay",
            metavar="FILE",
            type=Path,
            nargs="+",
            action="extend",
            default=[],
            help="overlay of the site that the file is named after",
        )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print all findings, one per line."""
        files = load_configuration(base=arguments.base, overlays=arguments.overlay)
        if files.is_error():
            print_error(files.error)
            return ExitCode.USAGE
        print_findings(files.ok.findings)
        if files.ok.findings:
            return ExitCode.FINDING
        n_overlays = len(files.ok.configuration.overlays)
        print_line(f"{arguments.base}: no findings, {n_overlays} overlays")
        return ExitCode.OK
