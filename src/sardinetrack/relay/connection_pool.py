"""A pool of connections to each backend server."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Final

from sardinetrack.http.sockets import has_unread_data
from sardinetrack.relay.server_connection import (
    CONNECT_SECONDS,
    ServerConnection,
)

IDLE_SECONDS: Final = 4.0
"""Idle connections are closed after this, or half of the server's own
time-out."""
_IDLE_FRACTION: Final = 0.5

Address = tuple[str, int]


class NotConnectedError(Exception):
    """No connection was established: nothing was sent, nothing has run."""


class ConnectionPool:
    """Owns all connections to backend servers; reuses the newest idle one."""

    def __init__(self) -> None:
        self.opened = 0
        self._idle: dict[Address, deque[ServerConnection]] = {}
        self._open: dict[Address, int] = {}
        self._checks: dict[Address, asyncio.Task[None]] = {}

    def connections(self, address: Address) -> int:
        """Count the connections to a server, idle ones too."""
        return self._open.get(address, 0) + len(self._idle.get(address, ()))

    @asynccontextmanager
    async def lease(
        self,
        address: Address,
        max_kept: Callable[[], float],
        *,
        max_idle_seconds: float,
        request_id: str,
    ) -> AsyncIterator[ServerConnection]:
        """Acquire a connection for a block, and release it at its end.

        After an exception, a cancellation included, it is closed: a response
        may still be due on it.

        :param max_kept: as for :meth:`release`, at that time.
        :param max_idle_seconds: as for :meth:`acquire`.
        :param request_id: as for :meth:`acquire`.
        :raises NotConnectedError: the server accepts no connection.
        """
        connection = await self.acquire(
            address, max_idle_seconds=max_idle_seconds, request_id=request_id
        )
        limit = float(0)
        try:
            yield connection
            limit = max_kept()
        finally:
            self.release(address, connection, limit)

    async def acquire(
        self,
        address: Address,
        *,
        max_idle_seconds: float = IDLE_SECONDS,
        request_id: str | None = None,
    ) -> ServerConnection:
        """Reuse an idle connection or open one.

        :param max_idle_seconds: an idle one must have been used within this.
        :param request_id: an idle one must not have carried a request with this
            id.
        :raises NotConnectedError: the server accepts no connection.
        """
        connection = self._take_idle(address, max_idle_seconds, request_id)
        if connection is None:
            return await self._connect(address)
        self._open[address] = self._open.get(address, 0) + 1
        return connection

    async def check(self, address: Address) -> None:
        """Open a connection to a server, one for all that ask meanwhile.

        :raises NotConnectedError: the server accepts no connection.
        """
        task = self._checks.get(address)
        if task is None:
            task = asyncio.create_task(self._open_and_close(address))
            self._checks[address] = task
            task.add_done_callback(partial(self._end_check, address))
        # A caller that leaves must not end the check of the others.
        await asyncio.shield(task)

    def _end_check(self, address: Address, task: asyncio.Task[None]) -> None:
        self._checks.pop(address)
        if not task.cancelled():
            # All that asked may have left.
            task.exception()

    async def _open_and_close(self, address: Address) -> None:
        connection = await self._connect(address)
        self.release(address, connection, max_kept=0)

    def release(
        self,
        address: Address,
        connection: ServerConnection,
        max_kept: float = math.inf,
    ) -> None:
        """Return a connection to the pool after its request.

        :param max_kept: if there are as many connections to the server, this
            one is closed. The server resets connections beyond the limit for
            all entries together; idle ones of a busy entry would use up the
            limit for another entry's requests.
        """
        self._open[address] = self._open.get(address, 1) - 1
        if not connection.reusable or self.connections(address) >= max_kept:
            connection.abort()
            return
        # A slow caller may have paused it at the end of its response; the next
        # response would never be read.
        connection.flow(reading=True)
        connection.idle_since_seconds = asyncio.get_running_loop().time()
        self._idle.setdefault(address, deque()).append(connection)

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            while idle and _is_expired(idle[0], now):
                idle.popleft().abort()
            if not idle:
                self._idle.pop(address)

    def forget(self, address: Address) -> None:
        """Close the idle connections to a removed server."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def _take_idle(
        self,
        address: Address,
        max_idle_seconds: float,
        request_id: str | None,
    ) -> ServerConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address)
        passed_over: list[ServerConnection] = []
        taken = None
        while idle and taken is None:
            connection = idle.pop()
            age_seconds = now - connection.idle_since_seconds
            if _is_unusable(connection, now):
                connection.abort()
            elif age_seconds >= max_idle_seconds or connection.has_carried(
                request_id
            ):
                passed_over.append(connection)
            else:
                taken = connection
        if passed_over:
            self._idle[address].extend(reversed(passed_over))
        return taken

    async def _connect(self, address: Address) -> ServerConnection:
        loop = asyncio.get_running_loop()
        self._open[address] = self._open.get(address, 0) + 1
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    ServerConnection,
                    *address,
                )
        except BaseException as error:
            self._open[address] -= 1
            if isinstance(error, OSError):
                raise NotConnectedError(str(error)) from error
            raise
        self.opened += 1
        return connection


def _is_unusable(connection: ServerConnection, now: float) -> bool:
    # What waits unread belongs to no request, or ends the connection. Once a
    # request is sent, it would be read as the response to that.
    return _is_expired(connection, now) or has_unread_data(connection.transport)


def _is_expired(connection: ServerConnection, now: float) -> bool:
    if not connection.reusable:
        return True
    limit_seconds = IDLE_SECONDS
    if connection.idle_limit_seconds is not None:
        server_seconds = _IDLE_FRACTION * connection.idle_limit_seconds
        limit_seconds = min(limit_seconds, server_seconds)
    return now - connection.idle_since_seconds >= limit_seconds
