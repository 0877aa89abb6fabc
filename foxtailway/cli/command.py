"""Interface of the subcommands of the operator command."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from enum import IntEnum

__all__ = ["Command", "ExitCode"]


class ExitCode(IntEnum):
    """Exit codes of the operator command."""

    OK = 0
    FINDING = 1
    USAGE = 2


class Command(ABC):
    """Implement one subcommand.

    Attributes
    ----------
    name : str
        Word that selects the subcommand.
    summary : str
        One line for the usage text.
    """

    name: str
    summary: str

    @abstractmethod
    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments of the subcommand."""

    @abstractmethod
    def run(self, arguments: Namespace) -> ExitCode:
        """Run the subcommand and print its result."""
