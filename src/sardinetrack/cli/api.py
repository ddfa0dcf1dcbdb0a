"""Base class and error of the commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from typing import ClassVar

from sardinetrack.cli.exit_codes import ExitCode


class CommandError(Exception):
    """A command failed; its message is all that the user sees."""

    def __init__(
        self,
        message: str,
        exit_code: ExitCode = ExitCode.FAILED,
    ) -> None:
        """Create the error.

        :param message: text for standard error; it may have several lines.
        :param exit_code: exit code of the process.
        """
        super().__init__(message)
        self.exit_code = exit_code


class Command(ABC):
    """A command, which registers its own arguments."""

    name: ClassVar[str]
    help: ClassVar[str]
    examples: ClassVar[tuple[str, ...]]
    """Complete command lines."""

    @abstractmethod
    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the command's arguments."""

    @abstractmethod
    def run(self, options: Namespace) -> int:
        """Run the command.

        :param options: the parsed arguments.
        :return: the exit code.
        :raises CommandError: the user sees its message.
        """
