"""One direction of a fake connection."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from benchmarks.chaos.virtual.network import Network

_END_OF_STREAM: Final = object()
_MIN_GAP_SECONDS: Final = 1e-7


class PipeBrokenError(Exception):
    """The other end closed or crashed, or the connection was reset."""


class Pipe:
    """Delivers items in order and delayed; the network may withhold them."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        """Open a pipe from a source to a target address."""
        self._network = network
        self._endpoints = (source, target)
        self._due_seconds = float(0)
        self._withheld: list[Any] = []
        self._arrived: deque[Any] = deque()
        self._ended = False
        self._waiter: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def ended(self) -> bool:
        """Whether no more items can arrive."""
        return self._ended and not self._arrived

    def send(self, item: Any) -> None:
        """Send an item; never blocks."""
        due = self._loop.time() + self._network.delay()
        # The loop does not keep the order of timers with equal times.
        self._due_seconds = max(due, self._due_seconds + _MIN_GAP_SECONDS)
        self._loop.call_at(self._due_seconds, self._arrive, item)

    def end(self) -> None:
        """Send the end of the stream after all other items."""
        self.send(_END_OF_STREAM)

    def reset(self) -> None:
        """Drop what is withheld; the receiver sees the end immediately."""
        self._withheld.clear()
        self._deliver(_END_OF_STREAM)

    def flush(self) -> None:
        """Deliver everything that was withheld."""
        withheld = self._withheld
        self._withheld = []
        for item in withheld:
            self._deliver(item)

    async def receive(self) -> Any:
        """Wait for the next item.

        :raises PipeBrokenError: the stream has ended.
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
        if self._withheld or self._network.withholds(*self._endpoints):
            self._network.add_withheld(self)
            self._withheld.append(item)
        else:
            self._deliver(item)

    def _deliver(self, item: Any) -> None:
        if self._ended:
            return
        if item is _END_OF_STREAM:
            self._ended = True
        else:
            self._arrived.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
