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
    Reply,
    StreamedReply,
)
from sardinetrack.messages.run import RunOrder
from sardinetrack.side.load_report import LoadReport

_PROBE_SECONDS: Final = 1.0


class UnreachableError(Exception):
    """No connection to the backend server can be opened."""


class SilentError(Exception):
    """The backend server takes connections but does not answer."""


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
        """Ask for the load.

        :return: ``None`` when the server does not report it.
        :raises UnreachableError: there is no connection.
        :raises SilentError: no answer came in time.
        """
        try:
            with anyio.fail_after(_PROBE_SECONDS):
                reply = await self._client.call('GET', f'{self._url}/load')
        except NotSentError as unsent:
            raise UnreachableError from unsent
        except (BrokenError, TimeoutError) as error:
            raise SilentError from error
        return _report(reply) if reply.status == HTTPStatus.OK else None

    async def connect(self) -> None:
        """Open a connection and close it again.

        :raises UnreachableError: that is not possible.
        """
        host, _, port = self._url.rpartition('/')[2].rpartition(':')
        try:
            with anyio.fail_after(_PROBE_SECONDS):
                stream = await anyio.connect_tcp(host.strip('[]'), int(port))
        except (OSError, TimeoutError) as error:
            raise UnreachableError from error
        await stream.aclose()


def _report(reply: Reply) -> LoadReport | None:
    try:
        return msgspec.json.decode(reply.body, type=LoadReport)
    except msgspec.DecodeError:
        return None
