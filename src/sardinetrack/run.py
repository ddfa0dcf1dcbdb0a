"""Entry point of the command line."""

from __future__ import annotations

import sys
from argparse import Namespace
from collections.abc import Sequence
from typing import Final

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.catalogue import CatalogueCommand
from sardinetrack.cli.check import CheckCommand
from sardinetrack.cli.entry import EntryCommand
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.experiment import ExperimentCommand
from sardinetrack.cli.explain import ExplainCommand
from sardinetrack.cli.local import LocalCommand
from sardinetrack.cli.parser import PROGRAM, build_parser
from sardinetrack.cli.report import ReportCommand
from sardinetrack.cli.side import SideCommand
from sardinetrack.cli.stand_in import StandInCommand
from sardinetrack.cli.status import StatusCommand
from sardinetrack.config.errors import SettingsError
from sardinetrack.logs import LogFormat, configure

COMMANDS: Final[tuple[Command, ...]] = (
    LocalCommand(),
    EntryCommand(),
    SideCommand(),
    CheckCommand(),
    CatalogueCommand(),
    StatusCommand(),
    StandInCommand(),
    ExplainCommand(),
    ExperimentCommand(),
    ReportCommand(),
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name; by default
        that of the process.
    :return: the exit code.
    """
    options = build_parser(COMMANDS).parse_args(arguments)
    configure(LogFormat(options.log_format), options.log_level)
    try:
        return _run(options)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except Exception as error:
        return _report_error(error)


def _run(options: Namespace) -> int:
    command: Command = options.command
    return command.run(options)


def _report_error(error: Exception) -> int:
    # The error of a port in use comes in the exception group of the task group
    # that opens the port.
    cause = error
    while isinstance(cause, ExceptionGroup) and len(cause.exceptions) == 1:
        cause = cause.exceptions[0]
    exit_code = _exit_code(cause)
    if exit_code is None:
        raise error
    for line in str(cause).splitlines():
        sys.stderr.write(f'{PROGRAM}: {line}\n')
    return exit_code


def _exit_code(error: Exception) -> ExitCode | None:
    match error:
        case CommandError():
            return error.exit_code
        case SettingsError():
            return ExitCode.BAD_USAGE
        case OSError():
            return ExitCode.FAILED
        case _:
            return None
