"""A thin typed layer over ASGI: requests, answers, body bounds."""

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

from sardinetrack.errors.api import AnsweredError, ErrorKind

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
HeaderPairs = Iterable[tuple[str, str]]

_JSON: Final = (('content-type', 'application/json'),)
_LATIN: Final = 'latin-1'
_CLOSE: Final = ('connection', 'close')


def _is_not_last() -> bool:
    return False


class CallerGoneError(Exception):
    """The peer closed its connection before the exchange was over."""


class Exchange:
    """One HTTP request and its answer."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Wrap the three parts of an ASGI call."""
        self.scope = scope
        self._receive = receive
        self._send = send
        self.started = False
        self.is_last: Callable[[], bool] = _is_not_last
        """Whether the answer says that its connection ends."""

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
        """The path and query as the peer sent them."""
        path = self.scope['raw_path'].decode(_LATIN)
        query = self.scope['query_string'].decode(_LATIN)
        return f'{path}?{query}' if query else path

    def header(self, name: str) -> str | None:
        """Find a header.

        :param name: in lower case.
        :return: the first value, ``None`` when it is missing.
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
        """Read the body piece by piece.

        :raises CallerGoneError: the peer closed before the body's end.
        """
        more = True
        while more:
            message = await self._receive()
            if message['type'] != 'http.request':
                raise CallerGoneError
            yield message.get('body', b'')
            more = message.get('more_body', False)

    async def body(self, max_bytes: int, within_seconds: float) -> bytes:
        """Read the whole body.

        :raises AnsweredError: it is too large or too slow.
        """
        try:
            with anyio.fail_after(within_seconds):
                return await self._bounded_body(max_bytes)
        except TimeoutError as error:
            raise AnsweredError(ErrorKind.BODY_TIMEOUT) from error

    async def gone(self) -> None:
        """Return when the peer has closed; call after reading the body."""
        message = await self._receive()
        while message['type'] != 'http.disconnect':
            message = await self._receive()

    async def start(self, status: int, headers: HeaderPairs) -> None:
        """Send status and headers."""
        self.started = True
        if self.is_last():
            headers = [*headers, _CLOSE]
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
        """Send a piece of the body."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': True,
            }
        )

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last piece; the answer is whole from here on.

        A handler that leaves without this, by an exception, makes uvicorn
        close the connection, so that the peer sees a broken answer.
        """
        await self._send({'type': 'http.response.body', 'body': chunk})

    async def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: HeaderPairs = (),
    ) -> None:
        """Send a whole answer."""
        pairs = [*headers, ('content-length', str(len(body)))]
        await self.start(status, pairs)
        await self.finish(body)

    async def answer_json(
        self,
        status: int,
        content: object,
        headers: HeaderPairs = (),
    ) -> None:
        """Send a whole answer as JSON."""
        await self.answer(
            status,
            msgspec.json.encode(content),
            [*_JSON, *headers],
        )

    async def _bounded_body(self, max_bytes: int) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in self.body_chunks():
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                raise AnsweredError(ErrorKind.BODY_TOO_LARGE)
            chunks.append(chunk)
        return b''.join(chunks)
