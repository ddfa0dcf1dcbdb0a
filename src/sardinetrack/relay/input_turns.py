"""Turns for connections whose input is costly to parse."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from typing import Final

FIRST_COST_SECONDS: Final = 0.01
"""Assumed for a piece of input whose cost was not measured."""


PAUSE_FRACTION: Final = 0.25
"""Of the cost of a piece, as a pause before the next one. Whatever else waits
is done once in between, however long that takes."""


class CostlyInput(ABC):
    """A connection that can be read in turn with others."""

    @abstractmethod
    def pause_reading(self) -> None:
        """Read nothing until its turn."""

    @abstractmethod
    def resume_reading(self) -> bool:
        """Read a piece; return whether the connection is still open."""


class InputTurns:
    """Lets connections with costly input read one piece at a time, in turn.

    Lines and chunks of few bytes cost a hundred times the processor time of as
    many bytes in one piece. If all that have arrived were parsed in the same
    iteration of the event loop, nothing else would be done for seconds.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[CostlyInput] = deque()
        self._latest: CostlyInput | None = None
        """The last one that had its turn."""
        self._free_seconds = float(0)
        self._timer: asyncio.TimerHandle | None = None

    def defer(self, connection: CostlyInput, cost_seconds: float) -> None:
        """Read on from a connection in its turn.

        :param cost_seconds: of the piece that was just parsed.
        """
        connection.pause_reading()
        self._waiting.append(connection)
        if connection is self._latest or self._timer is None:
            # Others that come meanwhile don't move the next turn on.
            pause_seconds = PAUSE_FRACTION * cost_seconds
            self._free_seconds = self._loop.time() + pause_seconds
        self._schedule()

    def close(self) -> None:
        """Give no turns any more."""
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            self._timer = self._loop.call_at(self._free_seconds, self._next)

    def _next(self) -> None:
        self._timer = None
        now = self._loop.time()
        if now >= self._free_seconds:
            # The piece of the next one may cost as much as the last one did.
            self._free_seconds = now + FIRST_COST_SECONDS
            self._latest = self._resume_next()
        self._schedule()

    def _resume_next(self) -> CostlyInput | None:
        """Resume the longest waiting one that is still open."""
        while self._waiting:
            connection = self._waiting.popleft()
            if connection.resume_reading():
                return connection
        return None
