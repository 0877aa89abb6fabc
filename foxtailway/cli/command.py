"""Base class of the subcommands of the command line."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from enum import IntEnum

__all__ = ["Command", "ExitCode"]


class ExitCode(IntEnum):
    """Exit code of a subcommand: success, a finding, or wrong usage."""

    OK = 0
    FINDING = 1
    USAGE = 2


class Command(ABC):
    """Base class of a subcommand.

    Attributes
    ----------
    name : str
        Name of the subcommand on the command line.
    summary : str
        One-line description for the help text.
    """

    name: str
    summary: str

    @abstractmethod
    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments of the subcommand to its parser."""

    @abstractmethod
    def run(self, arguments: Namespace) -> ExitCode:
        """Run the subcommand, print its result and return the exit code."""
