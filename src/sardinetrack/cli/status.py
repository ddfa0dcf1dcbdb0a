"""``sardinetrack status``: instances, sides, slots and waiting requests."""

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
    InstanceResponse,
    StatusUnavailableError,
    read_all,
    read_one,
)
from sardinetrack.cli.status_tables import show_page, show_responses
from sardinetrack.config.loader import load_settings
from sardinetrack.config.model import OperatorSettings
from sardinetrack.store.api import PlatformError


class StatusCommand(Command):
    """Show the status of one instance or of all."""

    name = 'status'
    help = 'show instances, sides, slots, waiting requests and configuration'
    examples = (
        'sardinetrack status operator.json',
        'sardinetrack status --url http://127.0.0.1:8082',
        'sardinetrack status operator.json --json',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register an operator's settings or the URL of one operator port."""
        source = parser.add_mutually_exclusive_group(required=True)
        source.add_argument(
            'settings',
            nargs='?',
            help='settings file of an operator: query all listed instances',
        )
        source.add_argument(
            '--url',
            type=http_url,
            help="URL of one instance's operator port: query only this one",
        )
        parser.add_argument(
            '--json',
            action='store_true',
            help='print the pages as received, not as tables',
        )

    def run(self, options: Namespace) -> int:
        """Print tables or pages."""
        show = _json_text if options.json else _table_text
        sys.stdout.write(f'{show(options)}\n')
        return ExitCode.DONE


def _table_text(options: Namespace) -> str:
    if options.url is None:
        return show_responses(_read_all(options.settings))
    raw = _read_one(options.url)
    try:
        return show_page(raw)
    except StatusUnavailableError as error:
        raise CommandError(f'{options.url}: {error}') from error


def _json_text(options: Namespace) -> str:
    content: Any
    if options.url is None:
        content = [
            _response_document(response)
            for response in _read_all(options.settings)
        ]
    else:
        content = _parse_json(_read_one(options.url), options.url)
    return json.dumps(content, indent=2, ensure_ascii=False)


def _read_one(url: str) -> bytes:
    try:
        return anyio.run(read_one, url)
    except StatusUnavailableError as error:
        raise CommandError(f'{url}: {error}') from error


def _read_all(path: str) -> Sequence[InstanceResponse]:
    settings = load_settings(path, OperatorSettings)
    try:
        responses = anyio.run(read_all, settings)
    except PlatformError as error:
        raise CommandError(f'the platform gave no list: {error}') from error
    if not responses:
        raise CommandError('the platform lists no instance')
    return responses


def _response_document(response: InstanceResponse) -> dict[str, Any]:
    listed = response.listed
    document = {
        'instance': listed.instance,
        'address': listed.address,
        'state': listed.state.value,
        'problem': response.problem,
        'page': None,
    }
    if response.raw:
        document['page'] = _parse_json(response.raw, listed.address)
    return document


def _parse_json(raw: bytes, source: str) -> Any:
    try:
        return json.loads(raw)
    except ValueError as error:
        raise CommandError(f'{source}: the response is not JSON') from error
