"""Subcommand that shows the merged configuration of a site."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from foxtailway.cli.command import Command, ExitCode
from foxtailway.cli.configuration_files import (
    load_configuration,
    print_error,
    print_findings,
    print_line,
)
from foxtailway.config.merged_site import merge_site

__all__ = ["RenderCommand"]


class RenderCommand(Command):
    """Show the result of merging a base file, one overlay and the defaults."""

    name = "render"
    summary = "show the merged configuration of a site"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the paths of the files."""
        parser.add_argument("base", metavar="BASE", type=Path, help="base file")
        parser.add_argument(
            "--overlay",
            metavar="FILE",
            type=Path,
            required=True,
            help="overlay of the site that the file is named after",
        )

    def run(self, arguments: Namespace) -> ExitCode:
        """Print the merged configuration, or the findings in the files."""
        if arguments.base.is_dir():
            print_error(f"{arguments.base}: is a directory; a base file is required")
            return ExitCode.USAGE
        files = load_configuration(base=arguments.base, overlays=[arguments.overlay])
        if files.is_error():
            print_error(files.error)
            return ExitCode.USAGE
        if files.ok.findings:
            print_findings(files.ok.findings)
            return ExitCode.FINDING
        (site,) = files.ok.configuration.overlays
        print_line(merge_site(files.ok.configuration, site=site).render().rstrip())
        return ExitCode.OK
