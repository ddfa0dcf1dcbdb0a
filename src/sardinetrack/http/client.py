"""HTTP calls over a pool of kept connections."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

import httpcore

_MAX_CONNECTIONS: Final = 4096
_KEPT_CONNECTIONS: Final = 256
_KEEP_SECONDS: Final = 30.0
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
    httpcore.PoolTimeout,
)


class HttpClient:
    """Calls by IP and port over kept connections."""

    def __init__(self, *, connect_seconds: float = 2.0) -> None:
        """Build a client; use it as a context manager."""
        self._connect_seconds = connect_seconds
        # No transport retries: only the decision code may repeat a request.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_KEPT_CONNECTIONS,
            keepalive_expiry=_KEEP_SECONDS,
            retries=0,
        )

    async def __aenter__(self) -> Self:
        """Open the pool."""
        await self._pool.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._pool.__aexit__(kind, error, trace)

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
        try:
            response = await self._pool.handle_async_request(
                self._request(method, url, headers, body, read_seconds),
            )
        except _NOT_SENT as error:
            raise NotSentError(str(error)) from error
        except _BROKEN as error:
            raise BrokenError(str(error)) from error
        try:
            yield StreamedReply(response)
        finally:
            await response.aclose()

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
            'pool': self._connect_seconds,
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
