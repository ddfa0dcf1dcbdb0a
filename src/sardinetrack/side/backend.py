"""Client of the backend server."""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final

import anyio

from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    HttpResponse,
    RequestNotSentError,
    StreamedResponse,
)
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.messages.run import RunRequest
from sardinetrack.side.load_report import LoadReport
from sardinetrack.side.response_observer import ResponseObserver

_PROBE_SECONDS: Final = 1.0
_REPORTS: Final = JsonDecoder[LoadReport](LoadReport)


class UnreachableError(Exception):
    """No connection to the backend server can be opened."""


class RefusedConnectionError(UnreachableError):
    """Nothing listens at the port of the backend server."""


class UnresponsiveError(Exception):
    """The backend server accepts connections but does not respond."""


class BackendServer:
    """The one backend server of a side."""

    def __init__(
        self,
        name: str,
        url: str,
        client: HttpClient,
        observer: ResponseObserver,
    ) -> None:
        """Create a client of the server.

        :param name: name of the backend server.
        :param url: ``http://IP:port``.
        :param client: HTTP client that makes the calls.
        :param observer: receives the head of each response.
        """
        self.name = name
        self._url = url.rstrip('/')
        self._client = client
        self._observer = observer

    @asynccontextmanager
    async def run(
        self,
        run_request: RunRequest,
        body: bytes,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request; leaving the context early cancels it at the server.

        :raises RequestNotSentError: not a single byte was sent.
        :raises OtherResponseError: another request's response arrived.
        :raises ConnectionBrokenError: the connection broke later.
        """
        sent_at = anyio.current_time()
        async with self._client.stream(
            run_request.method,
            f'{self._url}{run_request.path}',
            headers=run_request.headers,
            body=body,
            exchange_id=run_request.attempt_id,
        ) as response:
            await self._observer.observe(
                response, sent_at, run_request.attempt_id
            )
            yield response

    async def load(self) -> LoadReport | None:
        """Fetch the load report.

        :return: ``None`` when the server does not report its load.
        :raises UnreachableError: no connection could be opened.
        :raises UnresponsiveError: no response arrived in time.
        """
        sent_at = anyio.current_time()
        try:
            with anyio.fail_after(_PROBE_SECONDS):
                response = await self._client.call(
                    'GET', f'{self._url}/load', exchange_id=uuid.uuid4().hex
                )
        except RequestNotSentError as unsent:
            raise UnreachableError from unsent
        except (ConnectionBrokenError, TimeoutError) as error:
            raise UnresponsiveError from error
        await self._observer.observe(response, sent_at)
        return _report(response) if response.status == HTTPStatus.OK else None

    async def connect(self) -> None:
        """Open a connection and close it again.

        :raises RefusedConnectionError: nothing listens at its port.
        :raises UnreachableError: no connection could be opened.
        """
        host, _, port = self._url.rpartition('/')[2].rpartition(':')
        try:
            with anyio.fail_after(_PROBE_SECONDS):
                stream = await anyio.connect_tcp(host.strip('[]'), int(port))
        except (OSError, TimeoutError) as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            raise (
                RefusedConnectionError if refused else UnreachableError
            ) from error
        await stream.aclose()


def _report(response: HttpResponse) -> LoadReport | None:
    try:
        return _REPORTS.decode(response.body)
    except UnreadableError:
        return None
