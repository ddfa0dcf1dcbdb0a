"""Kept connections to each backend server."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Final

from sardinetrack.relay.server_connection import (
    CONNECT_SECONDS,
    ServerConnection,
)

IDLE_SECONDS: Final = 4.0
"""Idle connections are closed after this, or half of what the server says."""
_SAFE_PART: Final = 0.5

Address = tuple[str, int]


class NotConnectedError(Exception):
    """No connection was made: nothing was sent, nothing has run."""


class ServerPool:
    """Owns all connections to backend servers; the newest idle one goes."""

    def __init__(self) -> None:
        """Start empty."""
        self.opened = 0
        self._idle: dict[Address, deque[ServerConnection]] = {}
        self._open: dict[Address, int] = {}

    def connections(self, address: Address) -> int:
        """Count the connections to a server, idle ones too."""
        return self._open.get(address, 0) + len(self._idle.get(address, ()))

    async def take(
        self,
        address: Address,
        *,
        fresh_seconds: float = IDLE_SECONDS,
    ) -> ServerConnection:
        """Find an idle connection or open one.

        :param fresh_seconds: an idle one must have been used within this.
        :raises NotConnectedError: the server takes no connection.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.get(address)
        while idle:
            kept = idle.pop()
            age_seconds = loop.time() - kept.idle_since_seconds
            if kept.reusable and age_seconds < _limit(kept, fresh_seconds):
                self._open[address] = self._open.get(address, 0) + 1
                return kept
            kept.abort()
        return await self._connect(address)

    def give_back(
        self,
        address: Address,
        kept: ServerConnection,
        most_kept: float = math.inf,
    ) -> None:
        """Take back a connection after its request.

        :param most_kept: connections to the server beyond which this one is
            closed. The server resets whatever comes beyond its bound for all
            entries together; idle ones of a busy entry would take the place
            of another entry's requests.
        """
        self._open[address] = self._open.get(address, 1) - 1
        if not kept.reusable or self.connections(address) >= most_kept:
            kept.abort()
            return
        kept.idle_since_seconds = asyncio.get_running_loop().time()
        self._idle.setdefault(address, deque()).append(kept)

    def sweep(self) -> None:
        """Close what was idle for too long, and forget servers without any."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            while idle and _over(idle[0], now):
                idle.popleft().abort()
            if not idle:
                self._idle.pop(address)

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server that is gone."""
        for kept in self._idle.pop(address, ()):
            kept.abort()

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


def _limit(kept: ServerConnection, fresh_seconds: float) -> float:
    if kept.idle_limit_seconds is None:
        return fresh_seconds
    return min(fresh_seconds, _SAFE_PART * kept.idle_limit_seconds)


def _over(kept: ServerConnection, now: float) -> bool:
    age_seconds = now - kept.idle_since_seconds
    return not kept.reusable or age_seconds > _limit(kept, IDLE_SECONDS)
