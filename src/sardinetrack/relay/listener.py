"""The callers' listening socket of an entry."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Final, Self

from sardinetrack.http.sockets import accept_queued
from sardinetrack.logs.events import EventLog
from sardinetrack.process.ports import Ports

_BACKLOG: Final = 1024
_ACCEPTS_PER_ITERATION: Final = 32


class Listener:
    """Creates a protocol for each connection, until it is closed.

    It begins as soon as its port is available.
    """

    def __init__(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: tuple[str, int],
        log: EventLog,
    ) -> None:
        """Listen once entered as a context.

        :param make: creates the protocol of a connection.
        :param address: IP number and port; 0 lets the system choose.
        :param log: receives that the port is unavailable.
        """
        self._make = make
        self._address = address
        self._ports = Ports(log)
        self._server: asyncio.Server | None = None
        self._listening: socket.socket | None = None

    async def __aenter__(self) -> Self:
        """Listen, now or when the port is available."""
        await self._ports.open('callers', self._open)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        self.close()

    @property
    def is_open(self) -> bool:
        """Whether it listens."""
        return self._listening is not None

    @property
    def port(self) -> int:
        """The port that it listens on; 0 if it doesn't."""
        if self._listening is None:
            return 0
        return int(self._listening.getsockname()[1])

    async def accept_pending(self) -> None:
        """Accept the pending connections and stop listening."""
        self._ports.close()
        if self._listening is None:
            return
        accepted = list(accept_queued(self._listening))
        self.close()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            # Of a caller that has disconnected meanwhile.
            with suppress(OSError):
                await loop.connect_accepted_socket(self._make, connection)

    def close(self) -> None:
        """Stop listening, or waiting for the port."""
        self._ports.close()
        if self._server is not None:
            self._server.close()
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    async def _open(self) -> None:
        server = await asyncio.get_running_loop().create_server(
            self._make,
            *self._address,
            backlog=_ACCEPTS_PER_ITERATION,
        )
        try:
            duplicate = os.dup(server.sockets[0].fileno())
        except OSError:
            server.close()
            raise
        listening = socket.socket(fileno=duplicate)
        # The event loop accepts as many connections in one iteration as its
        # backlog argument, which it also passes to the kernel; a thousand in
        # an iteration would stall all streams.
        listening.listen(_BACKLOG)
        self._server = server
        self._listening = listening
