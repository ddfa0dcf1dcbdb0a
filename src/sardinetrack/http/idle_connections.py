"""Connections without a request, longest idle first."""

from __future__ import annotations

from collections.abc import Callable, Hashable


class IdleConnections:
    """Limits the connections of a listener.

    A client that opens thousands of connections and sends nothing would
    otherwise use up the limit and lock out all others. The connection that
    has been idle longest is closed first, so that only requests in progress
    can use up the limit.
    """

    def __init__(self, max_connections: int) -> None:
        """Create an empty set.

        :param max_connections: limit of the listener's open connections.
        """
        self._max_connections = max_connections
        self._idle: dict[Hashable, Callable[[], bool]] = {}
        self._closing: set[Hashable] = set()

    def __len__(self) -> int:
        return len(self._idle)

    def add(self, connection: Hashable, close: Callable[[], bool]) -> None:
        """Add a connection that has no request.

        :param close: closes the connection and returns whether it did; it
            does not if data of a request has not been read yet.
        """
        self._idle[connection] = close

    def remove(self, connection: Hashable) -> None:
        """Remove a connection that has a request or is closed."""
        self._idle.pop(connection, None)
        self._closing.discard(connection)

    def evict_idle(self, open_count: int) -> bool:
        """Close the longest idle connections above the limit.

        :param open_count: open connections of the listener now, with those
            that are closing.
        :return: whether the newest connection is within the limit.
        """
        excess = open_count - len(self._closing) - self._max_connections
        for connection in list(self._idle):
            if excess <= 0:
                break
            excess -= self._close(connection)
        return excess <= 0

    def _close(self, connection: Hashable) -> bool:
        if not self._idle[connection]():
            return False
        self._idle.pop(connection)
        self._closing.add(connection)
        return True
