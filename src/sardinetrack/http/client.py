"""HTTP calls over a pool of kept connections."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

import httpcore

from sardinetrack.http.connections import Connections

_LATIN: Final = 'latin-1'


class NotSentError(Exception):
    """No connection: not one byte of the request left."""


class BrokenError(Exception):
    """The exchange broke after the request may have arrived."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Find a header by its lower-case name."""
        return next((text for key, text in self.headers if key == name), None)


class StreamedReply:
    """An answer whose body is still arriving."""

    def __init__(self, response: httpcore.Response) -> None:
        """Wrap a response whose headers have arrived."""
        self._response = response
        self.status = response.status
        self.headers = tuple(
            (key.decode(_LATIN).lower(), text.decode(_LATIN))
            for key, text in response.headers
        )

    def header(self, name: str) -> str | None:
        """Find a header by its lower-case name."""
        return next((text for key, text in self.headers if key == name), None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body piece by piece.

        :raises BrokenError: it ended before the protocol's own end.
        """
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except _BROKEN as error:
            raise BrokenError(str(error)) from error

    async def read(self) -> bytes:
        """Read the rest of the body."""
        return b''.join([chunk async for chunk in self.chunks()])


_BROKEN: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_NOT_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
)


class HttpClient:
    """Calls by IP and port over kept connections."""

    def __init__(
        self,
        *,
        connect_seconds: float = 2.0,
        connections: Connections | None = None,
    ) -> None:
        """Build a client; use it as a context manager.

        :param connections: where connections are kept.
        """
        self._connect_seconds = connect_seconds
        self._connections = connections or Connections()

    async def __aenter__(self) -> Self:
        """Hand out the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._connections.aclose()

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        read_seconds: float | None = None,
    ) -> AsyncIterator[StreamedReply]:
        """Send a request and hand out its answer while it arrives.

        :param read_seconds: longest silence, ``None`` for no bound.
        :raises NotSentError: not one byte left.
        :raises BrokenError: the exchange broke later.
        """
        request = self._request(method, url, headers, body, read_seconds)
        async with AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    self._connections.exchange(request),
                )
            except _NOT_SENT as error:
                raise NotSentError(str(error)) from error
            except _BROKEN as error:
                raise BrokenError(str(error)) from error
            yield StreamedReply(response)

    async def call(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        read_seconds: float | None = None,
    ) -> Reply:
        """Send a request and read its whole answer; raises as ``stream``."""
        async with self.stream(
            method,
            url,
            headers=headers,
            body=body,
            read_seconds=read_seconds,
        ) as reply:
            return Reply(reply.status, reply.headers, await reply.read())

    def _request(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        read_seconds: float | None,
    ) -> httpcore.Request:
        address = httpcore.URL(url)
        pairs = [
            (name.encode(_LATIN), text.encode(_LATIN)) for name, text in headers
        ]
        pairs.append((b'host', _host(address)))
        if body or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
            pairs.append((b'content-length', str(len(body)).encode()))
        timeouts: dict[str, Any] = {
            'connect': self._connect_seconds,
            'read': read_seconds,
            'write': read_seconds,
        }
        return httpcore.Request(
            method,
            address,
            headers=pairs,
            content=body,
            extensions={'timeout': timeouts},
        )


def _host(url: httpcore.URL) -> bytes:
    if url.port is None:
        return url.host
    return b'%b:%d' % (url.host, url.port)
