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

    def make_room(self, held: int) -> bool:
        """Close the oldest idle connection when there are too many.

        :param held: connections that the listener holds now.
        :return: whether there is room for the newest one.
        """
        if held <= self._most:
            return True
        return any(self._close(one) for one in list(self._idle))

    def _close(self, connection: Hashable) -> bool:
        if not self._idle[connection]():
            return False
        self.remove(connection)
        return True
