"""Retries of the feeds of one process while the store is unreachable."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.store.api import ObjectApi
from sardinetrack.topology.freshness import boot_clock

MAX_BACKOFF_SECONDS: Final = 0.5
"""Longest delay between two calls while the store is unreachable."""
MAX_BACKOFF_WITH_NEIGHBOUR_SECONDS: Final = 2.0
"""The same while a neighbour retries too; it reports the return of the store
immediately."""
_MAX_WAIT_SECONDS: Final = 3.0
"""How long a feed waits for a response to another feed before it retries."""


class OutageBackoff:
    """Lets one feed of a process retry while the others wait.

    Failed calls to the store are charged too. Without this, in an outage of
    11 s each of 27 entries made four calls a second for its two feeds: four
    fifths of the calls of that day.
    """

    def __init__(self) -> None:
        """Start with a reachable store."""
        self.neighbour_retries = False
        """Whether a neighbour retries too."""
        self.failed_seconds = -math.inf
        """When the last call that failed was sent, by the boot clock."""
        self._retrying = False
        self._reachable = asyncio.Event()

    @property
    def maximum_seconds(self) -> float:
        """Longest delay between two calls."""
        return (
            MAX_BACKOFF_WITH_NEIGHBOUR_SECONDS
            if self.neighbour_retries
            else MAX_BACKOFF_SECONDS
        )

    def record_failure(self, sent_seconds: float) -> None:
        """Record that a call got no response.

        :param sent_seconds: when it was sent, by the boot clock.
        """
        self.failed_seconds = max(self.failed_seconds, sent_seconds)

    def record_response(self) -> None:
        """Record a response of the store; all waiting feeds retry now."""
        self._reachable.set()
        self._reachable = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """Wait until the feed may retry, or another one got a response.

        :param seconds: the feed's own delay.
        """
        if self._retrying:
            await self._wait_reachable(_MAX_WAIT_SECONDS)
            return
        self._retrying = True
        try:
            await self._wait_reachable(min(seconds, self.maximum_seconds))
        finally:
            self._retrying = False

    async def _wait_reachable(self, seconds: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._reachable.wait()


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """Access of the feeds of one process to the store."""

    store: ObjectApi
    backoff: OutageBackoff = field(default_factory=OutageBackoff)
    clock: Callable[[], float] = boot_clock
    """The boot clock, in seconds."""
