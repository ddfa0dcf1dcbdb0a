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
from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    RequestNotSentError,
)
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.side.events import SideStatusPage
from sardinetrack.store.api import ListedInstance

OPERATOR_PATH: Final = '/status'
_READ_TIMEOUT_SECONDS: Final = 5.0

StatusPage = EntryStatus | SideStatusPage


class StatusUnavailableError(Exception):
    """An instance returned no status page; the message says why."""


@dataclass(frozen=True, slots=True)
class InstanceResponse:
    """What one listed instance returned."""

    listed: ListedInstance
    raw: bytes
    """The page as received; empty if there is none."""
    problem: str = ''
    """Why there is no page."""


async def read_one(url: str) -> bytes:
    """Read the status page at an operator port.

    :param url: base URL of the port.
    :raises StatusUnavailableError: there is no page.
    """
    async with HttpClient() as client:
        return await _read(client, f'{url}{OPERATOR_PATH}')


async def read_all(settings: OperatorSettings) -> Sequence[InstanceResponse]:
    """Query every instance that the platform lists, concurrently.

    :raises PlatformError: the platform did not return its list.
    """
    async with open_access(settings) as access:
        listed = await access.platform.instances()
        responses: list[InstanceResponse] = []
        async with anyio.create_task_group() as tasks:
            for record in listed:
                tasks.start_soon(_query, access, record, responses)
    return sorted(responses, key=lambda response: response.listed.instance)


def decode_page(raw: bytes) -> StatusPage:
    """Decode the page of an entry or a side.

    :raises StatusUnavailableError: it is neither.
    """
    try:
        return _decode_either(raw)
    except msgspec.ValidationError as error:
        reason = 'the response is not a status page of this version'
        raise StatusUnavailableError(reason) from error
    except msgspec.DecodeError as error:
        raise StatusUnavailableError('the response is not JSON') from error


def _decode_either(raw: bytes) -> StatusPage:
    with suppress(msgspec.ValidationError):
        return msgspec.json.decode(raw, type=EntryStatus)
    return msgspec.json.decode(raw, type=SideStatusPage)


async def _query(
    access: OperatorAccess,
    record: ListedInstance,
    responses: list[InstanceResponse],
) -> None:
    url = f'http://{record.address}{STATUS_PATH}'
    try:
        raw = await _read(access.client, url, access.secret.header())
    except StatusUnavailableError as error:
        responses.append(InstanceResponse(record, b'', str(error)))
    else:
        responses.append(InstanceResponse(record, raw))


async def _read(
    client: HttpClient,
    url: str,
    *headers: tuple[str, str],
) -> bytes:
    try:
        with anyio.fail_after(_READ_TIMEOUT_SECONDS):
            http_response = await client.call('GET', url, headers=headers)
    except (RequestNotSentError, ConnectionBrokenError) as error:
        raise StatusUnavailableError(f'no response: {error}') from error
    except TimeoutError as error:
        reason = f'no response within {_READ_TIMEOUT_SECONDS} seconds'
        raise StatusUnavailableError(reason) from error
    if http_response.status != HTTPStatus.OK:
        raise StatusUnavailableError(
            f'responded with status {http_response.status}'
        )
    return http_response.body
