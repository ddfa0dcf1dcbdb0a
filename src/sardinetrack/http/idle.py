"""Connections without a request, oldest first."""

from __future__ import annotations

from collections.abc import Callable, Hashable


class IdleConnections:
    """Bounds the connections of a listener.

    Whoever opens thousands of connections and sends nothing would otherwise
    fill the table and lock out everybody else. The connection that has been
    idle for longest makes room, so that only requests in progress can fill
    it.
    """

    def __init__(self, most: int) -> None:
        """Start with none.

        :param most: connections that the listener holds in all.
        """
        self._most = most
        self._idle: dict[Hashable, Callable[[], bool]] = {}
        self._closing: set[Hashable] = set()

    def __len__(self) -> int:
        return len(self._idle)

    def add(self, connection: Hashable, close: Callable[[], bool]) -> None:
        """Note that a connection has no request.

        :param close: closes it, and tells whether it did: a request that is
            not read yet may be on its way.
        """
        self._idle[connection] = close

    def remove(self, connection: Hashable) -> None:
        """Note that a connection has a request or is gone."""
        self._idle.pop(connection, None)
        self._closing.discard(connection)

    def make_room(self, held: int) -> bool:
        """Close the oldest idle connections when there are too many.

        :param held: connections that the listener holds now, those among them
            that are closing.
        :return: whether there is room for the newest one.
        """
        excess = held - len(self._closing) - self._most
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
