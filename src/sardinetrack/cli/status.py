"""``sardinetrack status``: what an instance knows of the fleet."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser, Namespace
from http import HTTPStatus
from typing import Any, Final

import anyio

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.arguments import http_url
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    NotSentError,
    Reply,
)

_PATH: Final = '/status'
_READ_SECONDS: Final = 5.0


class StatusCommand(Command):
    """Show the status page of an instance."""

    name = 'status'
    help = 'show instances, sides, slots, waiting work and configuration'
    examples = ('sardinetrack status --url http://127.0.0.1:8082',)

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Take the operator port's URL."""
        parser.add_argument(
            '--url',
            type=http_url,
            required=True,
            help="URL of an instance's operator port",
        )

    def run(self, options: Namespace) -> int:
        """Print the status as JSON."""
        status = anyio.run(_read_status, options.url)
        text = json.dumps(status, indent=2, ensure_ascii=False)
        sys.stdout.write(f'{text}\n')
        return ExitCode.DONE


async def _read_status(url: str) -> Any:
    reply = await _call(url)
    if reply.status != HTTPStatus.OK:
        raise CommandError(f'{url}: answered with status {reply.status}')
    try:
        return json.loads(reply.body)
    except ValueError as error:
        raise CommandError(f'{url}: the answer is no JSON') from error


async def _call(url: str) -> Reply:
    try:
        with anyio.fail_after(_READ_SECONDS):
            async with HttpClient() as client:
                return await client.call('GET', f'{url}{_PATH}')
    except (NotSentError, BrokenError) as error:
        raise CommandError(f'{url}: no answer: {error}') from error
    except TimeoutError as error:
        reason = f'no answer within {_READ_SECONDS} seconds'
        raise CommandError(f'{url}: {reason}') from error
