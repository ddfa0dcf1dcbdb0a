"""Flow control between a caller and the servers that respond to it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.turns.clock import loop_now


class FlowControl:
    """Reads from servers no faster than the caller reads.

    There are two while a silent one is being relieved.
    """

    def __init__(self) -> None:
        self.paused = False
        self.resumed_seconds = -math.inf
        """When it was last resumed, on the clock of the event loop."""
        self._connections: set[ServerConnection] = set()

    def pause(self) -> None:
        """Stop reading from the servers."""
        self.paused = True
        for connection in self._connections:
            connection.flow(reading=False)

    def resume(self) -> None:
        """Continue to read from the servers."""
        self.paused = False
        self.resumed_seconds = loop_now()
        for connection in self._connections:
            connection.flow(reading=True)

    @contextmanager
    def applied_to(self, connection: ServerConnection) -> Iterator[None]:
        """Control the reading from a connection during one attempt.

        A caller that is slow at its start would otherwise fill the memory with
        all that this server sends.
        """
        self._connections.add(connection)
        if self.paused:
            connection.flow(reading=False)
        try:
            yield
        finally:
            self._connections.discard(connection)
