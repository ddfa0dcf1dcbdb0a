"""One direction of a fake connection."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from benchmarks.chaos.virtual.network import Network

_END: Final = object()
_NEXT_SECONDS: Final = 1e-7


class PipeBrokenError(Exception):
    """The other end closed, died or was cut off."""


class Pipe:
    """Delivers in order, after delays; holds everything on a held link."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        """Open."""
        self._network = network
        self._ends = (source, target)
        self._due_seconds = float(0)
        self._parked: list[Any] = []
        self._arrived: deque[Any] = deque()
        self._ended = False
        self._waiter: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def ended(self) -> bool:
        """Whether nothing more can arrive."""
        return self._ended and not self._arrived

    def send(self, item: Any) -> None:
        """Send; never blocks."""
        due = self._loop.time() + self._network.delay()
        # The loop's timers keep no order among equals.
        self._due_seconds = max(due, self._due_seconds + _NEXT_SECONDS)
        self._loop.call_at(self._due_seconds, self._arrive, item)

    def end(self) -> None:
        """Send the end, behind everything else."""
        self.send(_END)

    def cut(self) -> None:
        """Lose what is under way; the receiver learns at once."""
        self._parked.clear()
        self._deliver(_END)

    def flush(self) -> None:
        """Deliver what was held."""
        parked = self._parked
        self._parked = []
        for item in parked:
            self._deliver(item)

    async def receive(self) -> Any:
        """Wait for the next item.

        :raises PipeBrokenError: there is none.
        """
        while not self._arrived:
            if self._ended:
                raise PipeBrokenError
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._arrived.popleft()

    def _arrive(self, item: Any) -> None:
        if self._parked or self._network.holds(*self._ends):
            self._network.park(self)
            self._parked.append(item)
        else:
            self._deliver(item)

    def _deliver(self, item: Any) -> None:
        if self._ended:
            return
        if item is _END:
            self._ended = True
        else:
            self._arrived.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
