"""One entry's way to a store in memory, with faults on it."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sardinetrack.store.api import (
    ListedInstance,
    Listing,
    Platform,
    StoredObject,
    ThrottledError,
    UnavailableError,
    UncertainError,
)
from sardinetrack.store.memory import MemoryStore

_LATEST_SECONDS = 4.0


@dataclass
class Odds:
    """How often each fault meets a call, and how slow calls are."""

    refused: float = 0
    throttled: float = 0
    lost_reply: float = 0
    late_write: float = 0
    """The caller gives up; the write takes effect up to 4 s later."""
    latency_seconds: float = 0.002


@dataclass
class Road:
    """The store, and what all ways to it share."""

    store: MemoryStore = field(default_factory=MemoryStore)
    outage: bool = False
    calls: Counter[str] = field(default_factory=Counter)


class ShakyPlatform(Platform):
    """Calls on a shared store that meet faults by seeded chance."""

    def __init__(
        self,
        road: Road,
        odds: Odds,
        chance: random.Random,
        background: TaskGroup | None = None,
    ) -> None:
        self.road = road
        self.odds = odds
        self.cut = False
        self._chance = chance
        self._background = background

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self._enter('get')
        found = self.road.store.get(key)
        await self._travel()
        return found

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""

        def write() -> StoredObject:
            now = anyio.current_time()
            return self.road.store.put(now, key, value, expected_version)

        return await self._write('put', write)

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""

        def write() -> int:
            now = anyio.current_time()
            return self.road.store.delete(now, key, expected_version)

        return await self._write('delete', write)

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        await self._enter('list')
        return self.road.store.list(prefix)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes; not used here."""
        raise NotImplementedError

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of instances; not used here."""
        return ()

    async def _write(self, kind: str, write: Callable[[], Any]) -> Any:
        await self._enter(kind)
        if self._happens(self.odds.late_write):
            assert self._background is not None
            self._background.start_soon(self._write_late, write)
            await self._travel()
            raise UncertainError('no answer in time')
        done = write()
        await self._travel()
        if self._happens(self.odds.lost_reply):
            raise UncertainError('reply lost')
        return done

    async def _write_late(self, write: Callable[[], Any]) -> None:
        share = self._chance.random() ** 4
        await anyio.sleep(share * _LATEST_SECONDS)
        try:
            write()
        except Exception:
            self.road.calls['late write in vain'] += 1
        else:
            self.road.calls['late write'] += 1

    async def _enter(self, kind: str) -> None:
        await self._travel()
        if self.cut or self.road.outage or self._happens(self.odds.refused):
            raise UnavailableError('outage')
        if self._happens(self.odds.throttled):
            raise ThrottledError(self._chance.uniform(0, 1))
        self.road.calls[kind] += 1

    async def _travel(self) -> None:
        most_seconds = self.odds.latency_seconds
        await anyio.sleep(self._chance.uniform(most_seconds / 2, most_seconds))

    def _happens(self, odds: float) -> bool:
        return odds > 0 and self._chance.random() < odds
