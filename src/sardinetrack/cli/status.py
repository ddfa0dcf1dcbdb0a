"""``sardinetrack status``: instances, sides, slots and waiting work."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from typing import Any

import anyio

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.arguments import http_url
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.status_pages import (
    Answer,
    UnreadableError,
    read_all,
    read_one,
)
from sardinetrack.cli.status_tables import show_answers, show_page
from sardinetrack.config.loader import load_settings
from sardinetrack.config.model import OperatorSettings
from sardinetrack.store.api import PlatformError


class StatusCommand(Command):
    """Show the status of one instance or of all."""

    name = 'status'
    help = 'show instances, sides, slots, waiting work and configuration'
    examples = (
        'sardinetrack status operator.json',
        'sardinetrack status --url http://127.0.0.1:8082',
        'sardinetrack status operator.json --json',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Take an operator's settings or the URL of one operator port."""
        source = parser.add_mutually_exclusive_group(required=True)
        source.add_argument(
            'settings',
            nargs='?',
            help='settings file of an operator: ask all listed instances',
        )
        source.add_argument(
            '--url',
            type=http_url,
            help="URL of one instance's operator port: ask only this one",
        )
        parser.add_argument(
            '--json',
            action='store_true',
            help='print the pages as they came, not as tables',
        )

    def run(self, options: Namespace) -> int:
        """Print tables or pages."""
        show = _json_text if options.json else _table_text
        sys.stdout.write(f'{show(options)}\n')
        return ExitCode.DONE


def _table_text(options: Namespace) -> str:
    if options.url is None:
        return show_answers(_read_all(options.settings))
    raw = _read_one(options.url)
    try:
        return show_page(raw)
    except UnreadableError as error:
        raise CommandError(f'{options.url}: {error}') from error


def _json_text(options: Namespace) -> str:
    content: Any
    if options.url is None:
        content = [_document(row) for row in _read_all(options.settings)]
    else:
        content = _content(_read_one(options.url), options.url)
    return json.dumps(content, indent=2, ensure_ascii=False)


def _read_one(url: str) -> bytes:
    try:
        return anyio.run(read_one, url)
    except UnreadableError as error:
        raise CommandError(f'{url}: {error}') from error


def _read_all(path: str) -> Sequence[Answer]:
    settings = load_settings(path, OperatorSettings)
    try:
        answers = anyio.run(read_all, settings)
    except PlatformError as error:
        raise CommandError(f'the platform gave no list: {error}') from error
    if not answers:
        raise CommandError('the platform lists no instance')
    return answers


def _document(answer: Answer) -> dict[str, Any]:
    listed = answer.listed
    document = {
        'instance': listed.instance,
        'address': listed.address,
        'state': listed.state.value,
        'problem': answer.problem,
        'page': None,
    }
    if answer.raw:
        document['page'] = _content(answer.raw, listed.address)
    return document


def _content(raw: bytes, place: str) -> Any:
    try:
        return json.loads(raw)
    except ValueError as error:
        raise CommandError(f'{place}: the answer is no JSON') from error
