"""Flow control between a caller and the server that responds to it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.turns.clock import loop_now


class FlowControl:
    """Reads from a server no faster than the caller reads."""

    def __init__(self) -> None:
        self.paused = False
        self.resumed_seconds = -math.inf
        """When it was last resumed, on the clock of the event loop."""
        self._connection: ServerConnection | None = None

    def pause(self) -> None:
        """Stop reading from the server."""
        self.paused = True
        if self._connection is not None:
            self._connection.flow(reading=False)

    def resume(self) -> None:
        """Continue to read from the server."""
        self.paused = False
        self.resumed_seconds = loop_now()
        if self._connection is not None:
            self._connection.flow(reading=True)

    @contextmanager
    def applied_to(self, connection: ServerConnection) -> Iterator[None]:
        """Control the reading from a connection during one attempt.

        A caller that is slow at its start would otherwise fill the memory with
        all that this server sends.
        """
        self._connection = connection
        if self.paused:
            connection.flow(reading=False)
        try:
            yield
        finally:
            self._connection = None
