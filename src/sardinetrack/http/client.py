"""HTTP client over a pool of keep-alive connections."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from types import TracebackType
from typing import Any, Final, Self

import anyio
import httpcore

from sardinetrack.http.connections import ClientConnectionPool
from sardinetrack.http.sockets import has_failed, unacknowledged_bytes
from sardinetrack.http.statuses import is_status

EXCHANGE_HEADER: Final = 'sardinetrack-exchange'
"""Id of one request; a server may send it back with the response."""
_LATIN: Final = 'latin-1'
_HEAD: Final = b'HEAD'
_NO_BODY: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_FRAMING: Final = frozenset(('content-length', 'transfer-encoding'))
_CHECK_AFTER_SECONDS: Final = 0.02
"""A process that ends closes its connections and its listener one by one."""
CheckEnd = Callable[[httpcore.Response], Awaitable[None]]


class RequestNotSentError(Exception):
    """No connection could be opened; not one byte of the request was sent."""


class ConnectionBrokenError(Exception):
    """The exchange failed after the request may have arrived."""


class OtherResponseError(ConnectionBrokenError):
    """The response that arrived belongs to another request."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Find a header by its lower-case name."""
        return next((text for key, text in self.headers if key == name), None)


class StreamedResponse:
    """A response whose body is still arriving."""

    def __init__(
        self, response: httpcore.Response, check_end: CheckEnd
    ) -> None:
        """Wrap a response whose headers have arrived.

        :param check_end: called at the end of a body whose length is not
            stated.
        """
        self._response = response
        self._check_end = check_end
        self.status = response.status
        self.headers = tuple(
            (key.decode(_LATIN).lower(), text.decode(_LATIN))
            for key, text in response.headers
        )

    def header(self, name: str) -> str | None:
        """Find a header by its lower-case name."""
        return next((text for key, text in self.headers if key == name), None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body chunk by chunk.

        :raises ConnectionBrokenError: the body was interrupted before its end,
            or its connection has ended and that may not be its end.
        """
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
            if not self._states_end:
                await self._check_end(self._response)
        except _EXCHANGE_ERRORS as error:
            raise ConnectionBrokenError(str(error)) from error

    async def read(self) -> bytes:
        """Read the rest of the body."""
        return b''.join([chunk async for chunk in self.chunks()])

    @property
    def _states_end(self) -> bool:
        """Whether the end of the body is more than that of its connection."""
        if self.status in _NO_BODY:
            return True
        return any(name in _FRAMING for name, _ in self.headers)


_EXCHANGE_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_CONNECT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
)


class HttpClient:
    """Sends requests to an IP and port over keep-alive connections."""

    def __init__(
        self,
        *,
        connect_timeout_seconds: float = 2.0,
        connections: ClientConnectionPool | None = None,
    ) -> None:
        """Build a client; use it as a context manager.

        :param connections: pool of idle connections, by default a new one.
        """
        self._connect_timeout_seconds = connect_timeout_seconds
        self._connections = connections or ClientConnectionPool()

    async def __aenter__(self) -> Self:
        """Return the client."""
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
        read_timeout_seconds: float | None = None,
        exchange_id: str | None = None,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield its response while it arrives.

        :param read_timeout_seconds: timeout of each read and write, ``None``
            for no limit.
        :param exchange_id: unique id, sent in ``EXCHANGE_HEADER``; a response
            with another one ends the exchange.
        :raises RequestNotSentError: not one byte of the request was sent.
        :raises ConnectionBrokenError: the exchange failed after that.
        """
        if exchange_id is not None:
            headers = (*headers, (EXCHANGE_HEADER, exchange_id))
        request = self._request(
            method, url, headers, body, read_timeout_seconds
        )
        async with AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    self._connections.exchange(request),
                )
            except _CONNECT_ERRORS as error:
                raise RequestNotSentError(str(error)) from error
            except _EXCHANGE_ERRORS as error:
                raise ConnectionBrokenError(str(error)) from error
            if not is_status(response.status):
                raise ConnectionBrokenError(f'status {response.status}')
            check_end = partial(self._check_end, request)
            streamed = StreamedResponse(response, check_end)
            if exchange_id is not None:
                _check_exchange(streamed, exchange_id)
            yield streamed

    async def call(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        read_timeout_seconds: float | None = None,
        exchange_id: str | None = None,
    ) -> HttpResponse:
        """Send a request and read its complete response; see ``stream``."""
        async with self.stream(
            method,
            url,
            headers=headers,
            body=body,
            read_timeout_seconds=read_timeout_seconds,
            exchange_id=exchange_id,
        ) as response:
            return HttpResponse(
                response.status,
                response.headers,
                await response.read(),
            )

    async def _check_end(
        self, request: httpcore.Request, response: httpcore.Response
    ) -> None:
        """Check a response that has ended with its connection.

        The system ends the connections of a process that crashes, too.

        :raises ConnectionBrokenError: a part of the request has not arrived.
        :raises httpcore.NetworkError: the server accepts no connection.
        """
        sock = response.extensions['network_stream'].get_extra_info('socket')
        if request.method == _HEAD:
            return
        if unacknowledged_bytes(sock):
            raise ConnectionBrokenError('closed before the request arrived')
        await anyio.sleep(_CHECK_AFTER_SECONDS)
        if has_failed(sock):
            raise ConnectionBrokenError('reset after its close')
        await self._connections.check(request)

    def _request(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        read_timeout_seconds: float | None,
    ) -> httpcore.Request:
        address = httpcore.URL(url)
        pairs = [
            (name.encode(_LATIN), text.encode(_LATIN)) for name, text in headers
        ]
        pairs.append((b'host', _host(address)))
        if body or method not in {'GET', 'HEAD', 'DELETE', 'OPTIONS'}:
            pairs.append((b'content-length', str(len(body)).encode()))
        timeouts: dict[str, Any] = {
            'connect': self._connect_timeout_seconds,
            'read': read_timeout_seconds,
            'write': read_timeout_seconds,
        }
        return httpcore.Request(
            method,
            address,
            headers=pairs,
            content=body,
            extensions={'timeout': timeouts},
        )


def _check_exchange(response: StreamedResponse, exchange_id: str) -> None:
    found = response.header(EXCHANGE_HEADER)
    if found is not None and found != exchange_id:
        raise OtherResponseError(f'response to {found}, not to {exchange_id}')


def _host(url: httpcore.URL) -> bytes:
    if url.port is None:
        return url.host
    return b'%b:%d' % (url.host, url.port)
