"""Pool of idle client connections by origin, on httpcore's connections.

httpcore's own pool visits each of its connections, and polls the socket of
each idle one, twice for each request. A router has a connection to every
other process that it has exchanged requests with in the last half minute.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

import anyio
import httpcore

_MAX_IDLE: Final = 256
_IDLE_TIMEOUT_SECONDS: Final = 30.0
_SURPLUS_READ_SECONDS: Final = 1.0
_CONNECT_TIMEOUT: Final = 'connect'


def _ignore(origin: str) -> None:
    """Ignore a surplus response."""


class ClientConnection(httpcore.AsyncHTTP11Connection):
    """A connection that shows whether its parser holds surplus bytes."""

    # As many as asyncio reads at once. anyio would keep the rest of a larger
    # piece, where neither the parser nor the socket shows it.
    READ_NUM_BYTES = 262_144  # noqa: WPS115  # httpcore's own name

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have arrived after the end of a response."""
        unparsed, _ = self._h11_state.trailing_data
        return bool(unparsed)

    async def received_surplus(self) -> bool:
        """Whether an idle connection has received bytes and not its end.

        Reads a byte, so the connection must be closed afterwards.
        """
        if not self._network_stream.get_extra_info('is_readable'):
            return False
        try:
            first = await self._network_stream.read(1, _SURPLUS_READ_SECONDS)
        except (httpcore.ReadError, httpcore.ReadTimeout):
            return False
        return bool(first)


class ClientConnectionPool:
    """Reuses the newest idle connection to an origin, or opens one."""

    def __init__(
        self,
        *,
        max_idle: int = _MAX_IDLE,
        idle_timeout_seconds: float = _IDLE_TIMEOUT_SECONDS,
        on_surplus: Callable[[str], None] = _ignore,
    ) -> None:
        """Create an empty pool.

        :param max_idle: maximum of idle connections to all origins together.
        :param idle_timeout_seconds: how long a connection may be idle.
        :param on_surplus: called with the origin when a connection is closed
            because of bytes after a complete response.
        """
        self._on_surplus = on_surplus
        self._backend = httpcore.AnyIOBackend()
        self._max_idle = max_idle
        self._idle_timeout_seconds = idle_timeout_seconds
        self._idle_by_origin: defaultdict[
            str,
            list[ClientConnection],
        ] = defaultdict(list)
        self._idle: dict[ClientConnection, str] = {}
        self._in_use: set[ClientConnection] = set()

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    @asynccontextmanager
    async def exchange(
        self,
        request: httpcore.Request,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request; leaving the context releases the connection."""
        origin = str(request.url.origin)
        connection = await self._acquire(request, origin)
        self._in_use.add(connection)
        try:
            async with _response(connection, request) as response:
                yield response
        finally:
            self._in_use.discard(connection)
            await self._release(origin, connection)

    async def check(self, request: httpcore.Request) -> None:
        """Open a connection to the origin of a request, and close it.

        :raises httpcore.NetworkError: the server accepts none.
        """
        connection = await self._connect(request)
        await _close(connection)

    async def aclose(self) -> None:
        """Close all connections, also those in use."""
        for connection in list(self._idle):
            await self._close_idle(connection)
        for connection in list(self._in_use):
            await connection.aclose()

    async def _acquire(
        self,
        request: httpcore.Request,
        origin: str,
    ) -> ClientConnection:
        idle = self._idle_by_origin.get(origin, [])
        while idle:
            connection = idle[-1]
            if not connection.has_expired():
                self._remove_idle(connection)
                return connection
            await self._discard(connection)
        return await self._connect(request)

    async def _connect(self, request: httpcore.Request) -> ClientConnection:
        origin = request.url.origin
        if origin.scheme != b'http':
            raise httpcore.UnsupportedProtocol(str(origin))
        # No transport retries: only the decision code may repeat a request.
        stream = await self._backend.connect_tcp(
            origin.host.decode('ascii'),
            origin.port,
            timeout=request.extensions['timeout'][_CONNECT_TIMEOUT],
        )
        return ClientConnection(
            origin,
            stream,
            keepalive_expiry=self._idle_timeout_seconds,
        )

    async def _release(
        self,
        origin: str,
        connection: ClientConnection,
    ) -> None:
        if connection.is_closed() or not connection.is_idle():
            return
        if connection.has_surplus:
            # The parser would take it for the response to the next request.
            self._on_surplus(origin)
            await _close(connection)
            return
        self._idle_by_origin[origin].append(connection)
        self._idle[connection] = origin
        oldest = next(iter(self._idle))
        if self.idle_count > self._max_idle or oldest.has_expired():
            await self._discard(oldest)

    async def _discard(self, connection: ClientConnection) -> None:
        origin = self._idle[connection]
        self._remove_idle(connection)
        # A cancellation here would lose the result of an exchange that is
        # complete, since its release may discard another connection.
        with anyio.CancelScope(shield=True):
            if await connection.received_surplus():
                self._on_surplus(origin)
            await connection.aclose()

    async def _close_idle(
        self,
        connection: ClientConnection,
    ) -> None:
        self._remove_idle(connection)
        await _close(connection)

    def _remove_idle(self, connection: ClientConnection) -> None:
        origin = self._idle.pop(connection)
        idle = self._idle_by_origin[origin]
        idle.remove(connection)
        if not idle:
            self._idle_by_origin.pop(origin)


async def _close(connection: ClientConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()


@asynccontextmanager
async def _response(
    connection: ClientConnection,
    request: httpcore.Request,
) -> AsyncIterator[httpcore.Response]:
    response = await connection.handle_async_request(request)
    try:
        yield response
    finally:
        # Closes the connection of a response that was not read to its end,
        # also when its reader was cancelled.
        with anyio.CancelScope(shield=True):
            await response.aclose()
