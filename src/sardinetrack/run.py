"""Entry point of the command line."""

from __future__ import annotations

import sys
from argparse import Namespace
from collections.abc import Sequence
from typing import Final

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.check import CheckCommand
from sardinetrack.cli.entry import EntryCommand
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.local import LocalCommand
from sardinetrack.cli.parser import PROGRAM, build_parser
from sardinetrack.cli.side import SideCommand
from sardinetrack.config.errors import SettingsError
from sardinetrack.logs import LogFormat, configure

COMMANDS: Final[tuple[Command, ...]] = (
    LocalCommand(),
    EntryCommand(),
    SideCommand(),
    CheckCommand(),
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the words after the program's name.
    :return: the exit code.
    """
    options = build_parser(COMMANDS).parse_args(arguments)
    configure(LogFormat(options.log_format), options.log_level)
    try:
        return _run(options)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except CommandError as error:
        return _explain(error, error.exit_code)
    except SettingsError as error:
        return _explain(error, ExitCode.BAD_USAGE)


def _run(options: Namespace) -> int:
    command: Command = options.command
    return command.run(options)


def _explain(error: Exception, exit_code: ExitCode) -> int:
    for line in str(error).splitlines():
        sys.stderr.write(f'{PROGRAM}: {line}\n')
    return exit_code
