"""Read the status pages of instances."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.cli.operator_access import OperatorAccess, open_access
from sardinetrack.config.model import OperatorSettings
from sardinetrack.entry.status import EntryStatus
from sardinetrack.http.client import BrokenError, HttpClient, NotSentError
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.side.events import SideStatus
from sardinetrack.store.api import ListedInstance

OPERATOR_PATH: Final = '/status'
_READ_SECONDS: Final = 5.0

StatusPage = EntryStatus | SideStatus


class UnreadableError(Exception):
    """An instance gave no status page; the message says why."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What one listed instance answered."""

    listed: ListedInstance
    raw: bytes
    """The page as it came; empty when there is none."""
    problem: str = ''
    """Why there is no page."""


async def read_one(url: str) -> bytes:
    """Read the page at an operator port.

    :param url: base URL of the port.
    :raises UnreadableError: there is no page.
    """
    async with HttpClient() as client:
        return await _read(client, f'{url}{OPERATOR_PATH}')


async def read_all(settings: OperatorSettings) -> Sequence[Answer]:
    """Ask every instance that the platform lists, all at once.

    :raises PlatformError: the list can't be had.
    """
    async with open_access(settings) as access:
        listed = await access.platform.instances()
        answers: list[Answer] = []
        async with anyio.create_task_group() as tasks:
            for row in listed:
                tasks.start_soon(_ask, access, row, answers)
    return sorted(answers, key=lambda answer: answer.listed.instance)


def decode_page(raw: bytes) -> StatusPage:
    """Decode the page of an entry or a side.

    :raises UnreadableError: it is neither.
    """
    try:
        return _decode_either(raw)
    except msgspec.ValidationError as error:
        reason = 'the answer is no status page of this version'
        raise UnreadableError(reason) from error
    except msgspec.DecodeError as error:
        raise UnreadableError('the answer is no JSON') from error


def _decode_either(raw: bytes) -> StatusPage:
    with suppress(msgspec.ValidationError):
        return msgspec.json.decode(raw, type=EntryStatus)
    return msgspec.json.decode(raw, type=SideStatus)


async def _ask(
    access: OperatorAccess,
    row: ListedInstance,
    answers: list[Answer],
) -> None:
    url = f'http://{row.address}{STATUS_PATH}'
    try:
        raw = await _read(access.client, url, access.secret.header())
    except UnreadableError as error:
        answers.append(Answer(row, b'', str(error)))
    else:
        answers.append(Answer(row, raw))


async def _read(
    client: HttpClient,
    url: str,
    *headers: tuple[str, str],
) -> bytes:
    try:
        with anyio.fail_after(_READ_SECONDS):
            reply = await client.call('GET', url, headers=headers)
    except (NotSentError, BrokenError) as error:
        raise UnreadableError(f'no answer: {error}') from error
    except TimeoutError as error:
        reason = f'no answer within {_READ_SECONDS} seconds'
        raise UnreadableError(reason) from error
    if reply.status != HTTPStatus.OK:
        raise UnreadableError(f'answered with status {reply.status}')
    return reply.body
