"""Build the argument parser of the command line."""

from __future__ import annotations

from argparse import SUPPRESS, ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Iterable, Sequence
from typing import Final

from sardinetrack import __version__
from sardinetrack.cli.api import Command
from sardinetrack.cli.exit_codes import MEANINGS
from sardinetrack.logs import LogFormat

PROGRAM: Final = 'sardinetrack'

_CODE_WIDTH: Final = 5
_LEVELS: Final = ('debug', 'info', 'warning', 'error')


def build_parser(commands: Sequence[Command]) -> ArgumentParser:
    """Build the parser.

    :param commands: in the order of the help.
    :return: a parser whose result holds the chosen command as ``command``.
    """
    parser = ArgumentParser(
        prog=PROGRAM,
        description='Share model capacity fairly between workspaces.',
        epilog=_epilog(command.examples[0] for command in commands),
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument('--version', action='version', version=__version__)
    _add_log_arguments(parser, LogFormat.TEXT.value, 'info')
    subparsers = parser.add_subparsers(
        title='commands',
        metavar='COMMAND',
        required=True,
    )
    for command in commands:
        subparser = subparsers.add_parser(
            command.name,
            help=command.help,
            description=command.help,
            epilog=_epilog(command.examples),
            formatter_class=RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
        # Suppressed defaults keep the values given before the command's name.
        _add_log_arguments(subparser, SUPPRESS, SUPPRESS)
        subparser.set_defaults(command=command)
    return parser


def _add_log_arguments(
    parser: ArgumentParser,
    log_format: str,
    level: str,
) -> None:
    parser.add_argument(
        '--log-format',
        choices=[choice.value for choice in LogFormat],
        default=log_format,
        help='format of the log lines on standard error',
    )
    parser.add_argument(
        '--log-level',
        choices=_LEVELS,
        default=level,
        help='lowest level of the log lines',
    )


def _epilog(examples: Iterable[str]) -> str:
    lines = ['examples:']
    lines.extend(f'  {example}' for example in examples)
    lines.extend(('', 'exit codes:'))
    for code, meaning in MEANINGS.items():
        number = str(int(code)).ljust(_CODE_WIDTH)
        lines.append(f'  {number}{meaning}')
    return '\n'.join(lines)
