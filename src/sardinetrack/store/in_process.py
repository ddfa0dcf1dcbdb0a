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

_LAG_POLL_INTERVAL_SECONDS: Final = 0.02


@dataclass
class InjectedFaults:
    """Faults to inject into the calls."""

    outage: bool = False
    lose_replies: int = 0
    """Number of next writes that take effect but whose response is lost."""
    watch_lag_seconds: float = 0
    list_lag_seconds: float = 0


@dataclass(eq=False)
class _WaitingWatch:
    prefix: str
    changed: anyio.Event = field(default_factory=anyio.Event)


class MemoryPlatform(Platform):
    """Calls a store directly and injects faults on demand."""

    def __init__(
        self,
        store: MemoryStore | None = None,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Wrap a store, by default a new one.

        :param clock: returns the current moment in seconds.
        """
        self.store = store or MemoryStore()
        self._faults = InjectedFaults()
        self._clock = clock
        self._waiting_watches: set[_WaitingWatch] = set()

    def apply_faults(self, faults: InjectedFaults) -> None:
        """Replace the injected faults, also for watches that are waiting."""
        self._faults = faults
        for watch in self._waiting_watches:
            watch.changed.set()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self._begin_call()
        return self.store.get(key)

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""
        await self._begin_call()
        stored = self.store.put(self._clock(), key, value, expected_version)
        self._finish_write(key)
        return stored

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        await self._begin_call()
        version = self.store.delete(self._clock(), key, expected_version)
        self._finish_write(key)
        return version

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        await self._begin_call()
        return self.store.list(prefix)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes."""
        await self._begin_call()
        deadline = self._clock() + wait_seconds
        while True:
            now = self._clock()
            lag_seconds = self._faults.watch_lag_seconds
            listing = self.store.changes(
                now, prefix, after_revision, lag_seconds
            )
            if listing.objects or now >= deadline:
                return listing
            await self._wait_for_change(prefix, deadline - now)
            await self._begin_call()

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of instances."""
        await self._begin_call()
        lag_seconds = self._faults.list_lag_seconds
        return self.store.instances(self._clock(), lag_seconds)

    def set_instance(self, instance_record: ListedInstance) -> None:
        """Add an instance to the platform's list, or replace its record."""
        self.store.set_instance(self._clock(), instance_record)

    def remove_instance(self, instance: str) -> None:
        """Remove an instance from the platform's list."""
        self.store.remove_instance(self._clock(), instance)

    async def _begin_call(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self._faults.outage:
            raise UnavailableError('outage')

    def _finish_write(self, key: str) -> None:
        for watch in self._waiting_watches:
            if key.startswith(watch.prefix):
                watch.changed.set()
        if self._faults.lose_replies:
            self._faults.lose_replies -= 1
            raise UncertainError('response lost')

    async def _wait_for_change(self, prefix: str, seconds: float) -> None:
        watch = _WaitingWatch(prefix)
        lagging = self._faults.watch_lag_seconds
        max_seconds = (
            min(seconds, _LAG_POLL_INTERVAL_SECONDS) if lagging else seconds
        )
        self._waiting_watches.add(watch)
        try:
            with anyio.move_on_after(max_seconds):
                await watch.changed.wait()
        finally:
            self._waiting_watches.discard(watch)
