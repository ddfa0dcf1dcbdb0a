"""One instance's access to a store in memory, with injected faults."""

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

_MAX_LATE_SECONDS = 4.0


@dataclass
class FaultRates:
    """The probability of each fault for a call, and the latency of calls."""

    refused: float = 0
    throttled: float = 0
    lost_reply: float = 0
    late_write: float = 0
    """The caller gives up; the write takes effect up to 4 s later."""
    latency_seconds: float = 0.002


@dataclass
class SharedStore:
    """The store and the state that all accesses to it share."""

    store: MemoryStore = field(default_factory=MemoryStore)
    outage: bool = False
    calls: Counter[str] = field(default_factory=Counter)


class FaultyPlatform(Platform):
    """Calls on a shared store that fail at random, from a seeded generator.

    :param rng: also draws the latencies.
    :param background: runs late writes; needed if ``late_write`` is not 0.
    """

    def __init__(
        self,
        shared_store: SharedStore,
        rates: FaultRates,
        rng: random.Random,
        background: TaskGroup | None = None,
    ) -> None:
        self.shared_store = shared_store
        self.rates = rates
        self.cut = False
        self._rng = rng
        self._background = background

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self._enter('get')
        found = self.shared_store.store.get(key)
        await self._delay()
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
            return self.shared_store.store.put(
                now, key, value, expected_version
            )

        return await self._write('put', write)

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""

        def write() -> int:
            now = anyio.current_time()
            return self.shared_store.store.delete(now, key, expected_version)

        return await self._write('delete', write)

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        await self._enter('list')
        return self.shared_store.store.list(prefix)

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
        if self._happens(self.rates.late_write):
            assert self._background is not None
            self._background.start_soon(self._write_late, write)
            await self._delay()
            raise UncertainError('no response in time')
        done = write()
        await self._delay()
        if self._happens(self.rates.lost_reply):
            raise UncertainError('response lost')
        return done

    async def _write_late(self, write: Callable[[], Any]) -> None:
        fraction = self._rng.random() ** 4
        await anyio.sleep(fraction * _MAX_LATE_SECONDS)
        try:
            write()
        except Exception:
            self.shared_store.calls['late write without effect'] += 1
        else:
            self.shared_store.calls['late write'] += 1

    async def _enter(self, kind: str) -> None:
        await self._delay()
        if (
            self.cut
            or self.shared_store.outage
            or self._happens(self.rates.refused)
        ):
            raise UnavailableError('outage')
        if self._happens(self.rates.throttled):
            raise ThrottledError(self._rng.uniform(0, 1))
        self.shared_store.calls[kind] += 1

    async def _delay(self) -> None:
        max_seconds = self.rates.latency_seconds
        await anyio.sleep(self._rng.uniform(max_seconds / 2, max_seconds))

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._rng.random() < probability
