"""Kept connections by origin, over the connections of httpcore.

httpcore's own pool looks at every connection that it holds, and asks the
kernel about every idle one, twice in each request. A router holds one to
every other process that it has talked to in the last half minute.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import httpcore

_MAX_KEPT: Final = 256
_KEEP_SECONDS: Final = 30.0


class Connections:
    """Takes the newest idle connection to an origin, or opens one."""

    def __init__(
        self,
        *,
        max_kept: int = _MAX_KEPT,
        keep_seconds: float = _KEEP_SECONDS,
    ) -> None:
        """Start with none.

        :param max_kept: idle connections to all origins together.
        :param keep_seconds: how long a connection may be idle.
        """
        self._max_kept = max_kept
        self._keep_seconds = keep_seconds
        self._by_origin: defaultdict[
            str,
            list[httpcore.AsyncHTTPConnection],
        ] = defaultdict(list)
        self._oldest: dict[httpcore.AsyncHTTPConnection, str] = {}
        self._in_use: set[httpcore.AsyncHTTPConnection] = set()

    @property
    def kept(self) -> int:
        """Count the idle connections."""
        return len(self._oldest)

    @asynccontextmanager
    async def exchange(
        self,
        request: httpcore.Request,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request; the connection is free again on leaving."""
        origin = request.url.origin
        connection = await self._take(origin)
        self._in_use.add(connection)
        try:
            async with _response(connection, request) as response:
                yield response
        finally:
            self._in_use.discard(connection)
            await self._give(str(origin), connection)

    async def aclose(self) -> None:
        """Close all connections, also those in use."""
        for connection in list(self._oldest):
            await self._close(connection)
        for connection in list(self._in_use):
            await connection.aclose()

    async def _take(
        self,
        origin: httpcore.Origin,
    ) -> httpcore.AsyncHTTPConnection:
        kept = self._by_origin.get(str(origin), [])
        while kept:
            connection = kept[-1]
            if not connection.has_expired():
                self._forget(connection)
                return connection
            await self._close(connection)
        # No transport retries: only the decision code may repeat a request.
        return httpcore.AsyncHTTPConnection(
            origin,
            keepalive_expiry=self._keep_seconds,
            retries=0,
        )

    async def _give(
        self,
        origin: str,
        connection: httpcore.AsyncHTTPConnection,
    ) -> None:
        if connection.is_closed() or not connection.is_idle():
            return
        self._by_origin[origin].append(connection)
        self._oldest[connection] = origin
        oldest = next(iter(self._oldest))
        if self.kept > self._max_kept or oldest.has_expired():
            await self._close(oldest)

    async def _close(self, connection: httpcore.AsyncHTTPConnection) -> None:
        self._forget(connection)
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    def _forget(self, connection: httpcore.AsyncHTTPConnection) -> None:
        origin = self._oldest.pop(connection)
        kept = self._by_origin[origin]
        kept.remove(connection)
        if not kept:
            self._by_origin.pop(origin)


@asynccontextmanager
async def _response(
    connection: httpcore.AsyncHTTPConnection,
    request: httpcore.Request,
) -> AsyncIterator[httpcore.Response]:
    response = await connection.handle_async_request(request)
    try:
        yield response
    finally:
        # An answer that was not read to its end closes the connection, also
        # when its reader was cancelled.
        with anyio.CancelScope(shield=True):
            await response.aclose()
