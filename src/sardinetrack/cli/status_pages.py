"""Read the status pages of instances."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.config.model import OperatorSettings
from sardinetrack.config.secret import resolve_secret
from sardinetrack.entry.status import EntryStatus
from sardinetrack.http.client import BrokenError, HttpClient, NotSentError
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.links.secret import PeerSecret
from sardinetrack.platform.api import ListedInstance
from sardinetrack.platform.http import HttpPlatform
from sardinetrack.side.events import SideStatus

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
    secret = PeerSecret(resolve_secret(settings.peer_secret))
    async with HttpClient() as client:
        platform = HttpPlatform(
            client,
            settings.platform.url,
            resolve_secret(settings.platform.token),
            call_timeout_seconds=settings.platform.call_timeout_seconds,
        )
        listed = await platform.instances()
        answers: list[Answer] = []
        async with anyio.create_task_group() as tasks:
            for row in listed:
                tasks.start_soon(_ask, client, secret, row, answers)
    return sorted(answers, key=lambda answer: answer.listed.instance)


def decode_page(raw: bytes) -> StatusPage:
    """Decode the page of an entry or a side.

    :raises UnreadableError: it is neither.
    """
    for kind in (EntryStatus, SideStatus):
        try:
            return msgspec.json.decode(raw, type=kind)
        except msgspec.ValidationError:
            continue
        except msgspec.DecodeError as error:
            raise UnreadableError('the answer is no JSON') from error
    raise UnreadableError('the answer is no status page of this version')


async def _ask(
    client: HttpClient,
    secret: PeerSecret,
    row: ListedInstance,
    answers: list[Answer],
) -> None:
    url = f'http://{row.address}{STATUS_PATH}'
    try:
        raw = await _read(client, url, secret.header())
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
