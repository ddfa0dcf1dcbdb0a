"""The platform inside one process, for tests and ``local``."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from sardinetrack.store.api import (
    ListedInstance,
    Listing,
    Platform,
    StoredObject,
    UnavailableError,
    UncertainError,
)
from sardinetrack.store.memory import MemoryStore

_LAG_STEP_SECONDS: Final = 0.02


@dataclass
class Disturbance:
    """What goes wrong with the calls."""

    outage: bool = False
    lose_replies: int = 0
    """So many next writes take effect while their reply is lost."""
    watch_lag_seconds: float = 0
    list_lag_seconds: float = 0


@dataclass(eq=False)
class _Waiter:
    prefix: str
    changed: anyio.Event = field(default_factory=anyio.Event)


class MemoryPlatform(Platform):
    """Calls straight into a store, with disturbances on demand."""

    def __init__(
        self,
        store: MemoryStore | None = None,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Wrap a store, by default a new one."""
        self.store = store or MemoryStore()
        self._disturbance = Disturbance()
        self._clock = clock
        self._waiters: set[_Waiter] = set()

    def disturb(self, disturbance: Disturbance) -> None:
        """Replace what goes wrong; waiting watches meet it at once."""
        self._disturbance = disturbance
        for waiter in self._waiters:
            waiter.changed.set()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self._enter()
        return self.store.get(key)

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""
        await self._enter()
        stored = self.store.put(self._clock(), key, value, expected_version)
        self._written(key)
        return stored

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        await self._enter()
        version = self.store.delete(self._clock(), key, expected_version)
        self._written(key)
        return version

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        await self._enter()
        return self.store.list(prefix)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes."""
        await self._enter()
        deadline = self._clock() + wait_seconds
        while True:
            now = self._clock()
            lag_seconds = self._disturbance.watch_lag_seconds
            seen = self.store.changes(now, prefix, after_revision, lag_seconds)
            if seen.objects or now >= deadline:
                return seen
            await self._changed(prefix, deadline - now)
            await self._enter()

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of instances."""
        await self._enter()
        lag_seconds = self._disturbance.list_lag_seconds
        return self.store.instances(self._clock(), lag_seconds)

    def set_instance(self, row: ListedInstance) -> None:
        """Let the platform's scheduler know an instance."""
        self.store.set_instance(self._clock(), row)

    def remove_instance(self, instance: str) -> None:
        """Let the platform's scheduler forget an instance."""
        self.store.remove_instance(self._clock(), instance)

    async def _enter(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self._disturbance.outage:
            raise UnavailableError('outage')

    def _written(self, key: str) -> None:
        for waiter in self._waiters:
            if key.startswith(waiter.prefix):
                waiter.changed.set()
        if self._disturbance.lose_replies:
            self._disturbance.lose_replies -= 1
            raise UncertainError('reply lost')

    async def _changed(self, prefix: str, seconds: float) -> None:
        waiter = _Waiter(prefix)
        lagging = self._disturbance.watch_lag_seconds
        bound = min(seconds, _LAG_STEP_SECONDS) if lagging else seconds
        self._waiters.add(waiter)
        try:
            with anyio.move_on_after(bound):
                await waiter.changed.wait()
        finally:
            self._waiters.discard(waiter)
