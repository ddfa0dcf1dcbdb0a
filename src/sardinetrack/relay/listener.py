"""The callers' listening socket of an entry."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Final, Self

from sardinetrack.http.sockets import accept_queued

_BACKLOG: Final = 1024
_ACCEPTS_PER_ITERATION: Final = 32


class Listener:
    """Creates a protocol for each connection, until it is closed."""

    def __init__(
        self,
        make: Callable[[], asyncio.Protocol],
        server: asyncio.Server,
        listening: socket.socket,
    ) -> None:
        """Own a server and a second handle of its socket."""
        self._make = make
        self._server = server
        self._listening = listening

    @classmethod
    async def open(
        cls,
        make: Callable[[], asyncio.Protocol],
        address: tuple[str, int],
    ) -> Self:
        """Listen.

        :param make: creates the protocol of a connection.
        :param address: IP number and port; 0 lets the system choose.
        """
        server = await asyncio.get_running_loop().create_server(
            make,
            *address,
            backlog=_ACCEPTS_PER_ITERATION,
        )
        fileno = server.sockets[0].fileno()
        listening = socket.socket(fileno=os.dup(fileno))
        # The event loop accepts as many connections in one iteration as its
        # backlog argument, which it also passes to the kernel; a thousand in
        # an iteration would stall all streams.
        listening.listen(_BACKLOG)
        return cls(make, server, listening)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return int(self._listening.getsockname()[1])

    async def accept_pending(self) -> None:
        """Accept the pending connections and stop listening."""
        accepted = list(accept_queued(self._listening))
        self.close()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(self._make, connection)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()
        self._listening.close()
