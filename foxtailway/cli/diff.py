"""Subcommand that shows what an edit changes at each site."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import (
    load_configuration,
    print_error,
    print_findings,
    print_line,
)
from foxtailway.config.configuration import Configuration
from foxtailway.config.difference import compare_configurations

__all__ = ["DiffCommand"]


class DiffCommand(Command):
    """Compare two configurations, of which the newer one is not yet published."""

    name = "diff"
    summary = "show what an edit changes at each site"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the paths of both configurations."""
        for side in ("old", "new"):
            parser.add_argument(
                side,
                metavar=f"{side.upper()}_BASE",
                type=Path,
                help="base file, or a directory with base.ini and overlays",
            )
            parser.add_argument(
                f"--overlay-{side}",
                metavar="FILE",
                type=Path,
                nargs="+",
                action="extend",
                default=[],
                help=f"overlays of {side.upper()}_BASE",
            )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print each change with the sites it affects."""
        configurations = []
        for base, overlays in (
            (arguments.old, arguments.overlay_old),
            (arguments.new, arguments.overlay_new),
        ):
            files = load_configuration(base=base, overlays=overlays)
            if files.is_error():
                print_error(files.error)
                return ExitCode.USAGE
            if files.ok.findings:
                print_findings(files.ok.findings)
                return ExitCode.FINDING
            configurations.append(files.ok.configuration)
        before, after = configurations
        for change in compare_configurations(before=before, after=after):
            print_line(change)
        return check_generation(before, after)


def check_generation(before: Configuration, after: Configuration) -> ExitCode:
    """Return FINDING and print a line if the generation decreases.

    Nodes refuse a configuration of an older generation.
    """
    old = before.base.mesh.section.entries["generation"].value
    new = after.base.mesh.section.entries["generation"].value
    if new >= old:
        return ExitCode.OK
    print_line(f"mesh.generation decreases; allowed: {old} or more")
    return ExitCode.FINDING
