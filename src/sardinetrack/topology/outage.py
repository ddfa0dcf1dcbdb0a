"""What the feeds of one process share while the store does not answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.store.api import ObjectApi
from sardinetrack.topology.freshness import boot_clock

MOST_PAUSE_SECONDS: Final = 0.5
"""Longest pause between two questions whether the store is back."""
RELIEVED_PAUSE_SECONDS: Final = 2.0
"""The same while a neighbour asks too, and tells at once when it is."""
_TRUST_SECONDS: Final = 3.0
"""How long a feed waits for another one's answer before it asks itself."""


class Outage:
    """Lets one feed ask whether the store is back, and the others wait.

    Every call is paid for, also one that fails. In an outage of 11 s each of
    27 entries asked four times a second, for its two feeds: four fifths of
    the calls of that day.
    """

    def __init__(self) -> None:
        """Start with a store that answers."""
        self.relieved = False
        """Whether a neighbour asks too."""
        self._asks = False
        self._back = asyncio.Event()

    @property
    def most_pause_seconds(self) -> float:
        """Tell how long to pause at most."""
        return RELIEVED_PAUSE_SECONDS if self.relieved else MOST_PAUSE_SECONDS

    def answered(self) -> None:
        """Note an answer; whoever waits for the store asks now."""
        self._back.set()
        self._back = asyncio.Event()

    async def pause(self, seconds: float) -> None:
        """Wait until it is this feed's turn to ask, or another had an answer.

        :param seconds: its own pause.
        """
        if self._asks:
            await self._wait_back(_TRUST_SECONDS)
            return
        self._asks = True
        try:
            await self._wait_back(min(seconds, self.most_pause_seconds))
        finally:
            self._asks = False

    async def _wait_back(self, seconds: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._back.wait()


@dataclass(frozen=True, slots=True)
class StoreWay:
    """How the feeds of one process reach the store."""

    store: ObjectApi
    outage: Outage = field(default_factory=Outage)
    clock: Callable[[], float] = boot_clock
    """The boot clock, in seconds."""
