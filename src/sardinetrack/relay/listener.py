"""The callers' listening socket of an entry."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Final, Self

from sardinetrack.http.sockets import accept_all

_BACKLOG: Final = 1024
_ACCEPTED_AT_ONCE: Final = 32


class Listener:
    """Makes a protocol for each connection, until it is closed."""

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

        :param make: builds the protocol of a connection.
        :param address: IP number and port; 0 lets the system choose.
        """
        server = await asyncio.get_running_loop().create_server(
            make,
            *address,
            backlog=_ACCEPTED_AT_ONCE,
        )
        fileno = server.sockets[0].fileno()
        listening = socket.socket(fileno=os.dup(fileno))
        # The loop accepts as many in one turn as its backlog, which it also
        # gives to the kernel; a thousand in a turn would stop all streams.
        listening.listen(_BACKLOG)
        return cls(make, server, listening)

    @property
    def port(self) -> int:
        """Tell where it listens."""
        return int(self._listening.getsockname()[1])

    async def take_last(self) -> None:
        """Accept who has connected, and listen no more."""
        accepted = list(accept_all(self._listening))
        self.close()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(self._make, connection)

    def close(self) -> None:
        """Listen no more."""
        self._server.close()
        self._listening.close()
