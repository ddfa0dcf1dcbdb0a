"""``sardinetrack catalogue``: list, show and edit catalogue entries."""

from __future__ import annotations

from argparse import ArgumentParser, ArgumentTypeError, Namespace
from pathlib import Path
from typing import Final

import anyio

from sardinetrack.catalogue.api import CatalogueKind
from sardinetrack.catalogue.model import key_of
from sardinetrack.catalogue.parse import parse_operator_file
from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.catalogue_actions import (
    ApplyAction,
    CatalogueAction,
    ListAction,
    RemoveAction,
    ShowAction,
    run_action,
)
from sardinetrack.cli.catalogue_errors import translate_errors
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.config.loader import load_settings
from sardinetrack.config.model import OperatorSettings

_DEFAULT_WAIT_SECONDS: Final = 10.0


class CatalogueCommand(Command):
    """List, show, apply and remove catalogue entries."""

    name = 'catalogue'
    help = 'list, show, apply and remove catalogue entries'
    examples = (
        'sardinetrack catalogue list operator.json',
        'sardinetrack catalogue show operator.json workspace/pilots',
        'sardinetrack catalogue apply operator.json pilots.json --version 12',
        'sardinetrack catalogue remove operator.json pool/ice-llm',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the four actions."""
        actions = parser.add_subparsers(
            title='actions',
            metavar='ACTION',
            required=True,
        )
        _add_list(actions.add_parser('list', help='list all entries'))
        _add_show(actions.add_parser('show', help='print one entry'))
        _add_apply(
            actions.add_parser('apply', help='create or replace an entry'),
        )
        _add_remove(actions.add_parser('remove', help='remove an entry'))

    def run(self, options: Namespace) -> int:
        """Run one action."""
        settings = load_settings(options.settings, OperatorSettings)
        with translate_errors():
            action: CatalogueAction = options.action(options)
            return anyio.run(run_action, action, settings)


def _add_list(parser: ArgumentParser) -> None:
    _add_settings(parser)
    parser.set_defaults(action=_list)


def _add_show(parser: ArgumentParser) -> None:
    _add_settings(parser)
    _add_key(parser)
    parser.set_defaults(action=_show)


def _add_apply(parser: ArgumentParser) -> None:
    _add_settings(parser)
    parser.add_argument('file', help='the entry as JSON with comments')
    _add_edit_options(parser)
    parser.set_defaults(action=_apply)


def _add_remove(parser: ArgumentParser) -> None:
    _add_settings(parser)
    _add_key(parser)
    _add_edit_options(parser)
    parser.set_defaults(action=_remove)


def _add_settings(parser: ArgumentParser) -> None:
    parser.add_argument('settings', help='settings file of an operator')


def _add_key(parser: ArgumentParser) -> None:
    parser.add_argument(
        'key',
        type=_parse_key,
        metavar='KIND/NAME',
        help='for example workspace/pilots or pool/ice-llm',
    )


def _add_edit_options(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--version',
        type=int,
        help='version that the edit is based on, 0 for a new entry; '
        'by default the current version',
    )
    parser.add_argument(
        '--wait',
        type=float,
        default=_DEFAULT_WAIT_SECONDS,
        metavar='SECONDS',
        help='how long to wait until the edit is in force at all instances',
    )


def _list(_: Namespace) -> CatalogueAction:
    return ListAction()


def _show(options: Namespace) -> CatalogueAction:
    return ShowAction(options.key)


def _apply(options: Namespace) -> CatalogueAction:
    try:
        text = Path(options.file).read_text(encoding='utf-8')
    except UnicodeDecodeError as error:
        message = f'{options.file}: not UTF-8 text'
        raise CommandError(message, ExitCode.BAD_USAGE) from error
    return ApplyAction(parse_operator_file(text), options.version, options.wait)


def _remove(options: Namespace) -> CatalogueAction:
    return RemoveAction(options.key, options.version, options.wait)


def _parse_key(text: str) -> str:
    kind, _, name = text.partition('/')
    known_kinds = [known.value for known in CatalogueKind]
    if kind not in known_kinds or not name:
        choices = ' or '.join(f'{known}/NAME' for known in known_kinds)
        raise ArgumentTypeError(f'must be {choices}')
    return key_of(CatalogueKind(kind), name)
