"""A thin typed layer over ASGI: requests, responses, body limits."""

from __future__ import annotations

from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    MutableMapping,
)
from typing import Any, Final

import anyio
import msgspec

from sardinetrack.errors.api import ErrorKind, RequestError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
HeaderPairs = Iterable[tuple[str, str]]

_JSON_HEADERS: Final = (('content-type', 'application/json'),)
_LATIN: Final = 'latin-1'
_CLOSE_HEADER: Final = ('connection', 'close')


def _does_not_close() -> bool:
    return False


class ClientDisconnectedError(Exception):
    """The client closed its connection before the exchange was complete."""


class HttpExchange:
    """One HTTP request and its response."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Wrap the three arguments of an ASGI call."""
        self.scope = scope
        self._receive = receive
        self._send = send
        self.started = False
        self.closes_connection: Callable[[], bool] = _does_not_close
        """Whether the response announces that its connection closes."""

    @property
    def method(self) -> str:
        """The method in capitals."""
        return str(self.scope['method'])

    @property
    def path(self) -> str:
        """The decoded path."""
        return str(self.scope['path'])

    @property
    def target(self) -> str:
        """The path and query as the client sent them."""
        path = self.scope['raw_path'].decode(_LATIN)
        query = self.scope['query_string'].decode(_LATIN)
        return f'{path}?{query}' if query else path

    def header(self, name: str) -> str | None:
        """Find a header.

        :param name: in lower case.
        :return: the first value, ``None`` if the header is missing.
        """
        wanted = name.encode(_LATIN)
        for key, text in self.scope['headers']:
            if key == wanted:
                return str(text.decode(_LATIN))
        return None

    def headers(self) -> list[tuple[str, str]]:
        """All headers in order, names in lower case."""
        return [
            (key.decode(_LATIN), text.decode(_LATIN))
            for key, text in self.scope['headers']
        ]

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Read the body chunk by chunk.

        :raises ClientDisconnectedError: the client closed the connection before
            the end of the body.
        """
        more = True
        while more:
            message = await self._receive()
            if message['type'] != 'http.request':
                raise ClientDisconnectedError
            yield message.get('body', b'')
            more = message.get('more_body', False)

    async def body(self, max_bytes: int, timeout_seconds: float) -> bytes:
        """Read the complete body.

        :raises RequestError: the body is too large or arrives too slowly.
        """
        try:
            with anyio.fail_after(timeout_seconds):
                return await self._bounded_body(max_bytes)
        except TimeoutError as error:
            raise RequestError(ErrorKind.BODY_TIMEOUT) from error

    async def wait_for_disconnect(self) -> None:
        """Wait until the client disconnects; call after reading the body."""
        message = await self._receive()
        while message['type'] != 'http.disconnect':
            message = await self._receive()

    async def start(self, status: int, headers: HeaderPairs) -> None:
        """Send the status and the headers."""
        self.started = True
        if self.closes_connection():
            headers = [*headers, _CLOSE_HEADER]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode(_LATIN), text.encode(_LATIN))
                    for name, text in headers
                ],
            }
        )

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': True,
            }
        )

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk, which completes the response.

        If a handler raises before it calls this, uvicorn closes the
        connection, so that the client sees a truncated response.
        """
        await self._send({'type': 'http.response.body', 'body': chunk})

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: HeaderPairs = (),
    ) -> None:
        """Send a complete response."""
        pairs = [*headers, ('content-length', str(len(body)))]
        await self.start(status, pairs)
        await self.finish(body)

    async def respond_json(
        self,
        status: int,
        content: object,
        headers: HeaderPairs = (),
    ) -> None:
        """Send a complete response as JSON."""
        await self.respond(
            status,
            msgspec.json.encode(content),
            [*_JSON_HEADERS, *headers],
        )

    async def _bounded_body(self, max_bytes: int) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in self.body_chunks():
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                raise RequestError(ErrorKind.BODY_TOO_LARGE)
            chunks.append(chunk)
        return b''.join(chunks)
