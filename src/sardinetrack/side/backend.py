"""Calls on the backend server."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.http.client import (
    BrokenError,
    HttpClient,
    NotSentError,
    StreamedReply,
)
from sardinetrack.messages.run import RunOrder
from sardinetrack.side.load_report import LoadReport

_PROBE_SECONDS: Final = 1.0


class BackendServer:
    """The one backend server of a side."""

    def __init__(self, name: str, url: str, client: HttpClient) -> None:
        """Remember where it is.

        :param url: ``http://IP:port``.
        """
        self.name = name
        self._url = url.rstrip('/')
        self._client = client

    def run(
        self,
        order: RunOrder,
        body: bytes,
    ) -> AbstractAsyncContextManager[StreamedReply]:
        """Send a request; leaving the context early cancels it there.

        :raises NotSentError: not one byte left.
        :raises BrokenError: the exchange broke later.
        """
        return self._client.stream(
            order.method,
            f'{self._url}{order.path}',
            headers=order.headers,
            body=body,
        )

    async def load(self) -> LoadReport | None:
        """Ask for the load; ``None`` when no report came in time."""
        with anyio.move_on_after(_PROBE_SECONDS):
            try:
                reply = await self._client.call('GET', f'{self._url}/load')
            except (NotSentError, BrokenError):
                return None
            if reply.status == HTTPStatus.OK:
                return _report(reply.body)
        return None

    async def reachable(self) -> bool:
        """Try to open a connection."""
        host, _, port = self._url.rpartition('/')[2].rpartition(':')
        with anyio.move_on_after(_PROBE_SECONDS):
            try:
                stream = await anyio.connect_tcp(host.strip('[]'), int(port))
            except OSError:
                return False
            await stream.aclose()
            return True
        return False


def _report(body: bytes) -> LoadReport | None:
    try:
        return msgspec.json.decode(body, type=LoadReport)
    except msgspec.DecodeError:
        return None
