"""What every command of the command line offers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from typing import ClassVar

from sardinetrack.cli.exit_codes import ExitCode


class CommandError(Exception):
    """A command can't do its work; its message is all the user sees."""

    def __init__(
        self,
        message: str,
        exit_code: ExitCode = ExitCode.FAILED,
    ) -> None:
        """Remember what to say and how to exit."""
        super().__init__(message)
        self.exit_code = exit_code


class Command(ABC):
    """One command, which registers its own arguments."""

    name: ClassVar[str]
    help: ClassVar[str]
    examples: ClassVar[tuple[str, ...]]
    """Whole command lines."""

    @abstractmethod
    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the arguments of this command."""

    @abstractmethod
    def run(self, options: Namespace) -> int:
        """Do the work.

        :param options: the parsed arguments.
        :return: the exit code.
        :raises CommandError: the user reads its message.
        """
