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
        self._idle: dict[Hashable, Callable[[], None]] = {}

    def __len__(self) -> int:
        return len(self._idle)

    def add(self, connection: Hashable, abort: Callable[[], None]) -> None:
        """Note that a connection has no request.

        :param abort: cuts it.
        """
        self._idle[connection] = abort

    def remove(self, connection: Hashable) -> None:
        """Note that a connection has a request or is gone."""
        self._idle.pop(connection, None)

    def make_room(self, held: int) -> bool:
        """Cut the oldest idle connection when there are too many.

        :param held: connections that the listener holds now.
        :return: whether there is room for the newest one.
        """
        if held <= self._most:
            return True
        if not self._idle:
            return False
        oldest = next(iter(self._idle))
        self._idle.pop(oldest)()
        return True
