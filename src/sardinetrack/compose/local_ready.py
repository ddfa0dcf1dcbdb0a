"""Wait until the daemons of ``sardinetrack local`` are ready."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus
from typing import Final

import anyio

from sardinetrack.http.client import HttpClient

_POLL_INTERVAL_SECONDS: Final = 0.02
_READY_TIMEOUT_SECONDS: Final = 20.0


async def wait_ready(operator_urls: Sequence[str]) -> None:
    """Poll each daemon until it reports that it is ready.

    :param operator_urls: base URLs of the operator ports.
    :raises TimeoutError: a daemon did not become ready in time.
    """
    async with HttpClient() as client:
        with anyio.fail_after(_READY_TIMEOUT_SECONDS):
            for url in operator_urls:
                await _wait_for(client, f'{url}/readyz')


async def _wait_for(client: HttpClient, url: str) -> None:
    response = await client.call('GET', url)
    while response.status != HTTPStatus.OK:
        await anyio.sleep(_POLL_INTERVAL_SECONDS)
        response = await client.call('GET', url)
