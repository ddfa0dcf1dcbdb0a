"""The platform as one node reaches it, with what goes wrong on the way."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, TypeVar

import anyio

from benchmarks.chaos.virtual.node import Node
from sardinetrack.store.api import (
    ListedInstance,
    Listing,
    Platform,
    PlatformError,
    StoredObject,
    ThrottledError,
    UnavailableError,
    UncertainError,
)
from sardinetrack.store.in_process import MemoryPlatform

ADDRESS: Final = '10.0.0.2:80'
_Found = TypeVar('_Found')
_CALL_SECONDS: Final = 2.0
_MOST_LATE_SECONDS: Final = 8.0
_PART: Final = 0.4
_RETRY_SECONDS: Final = 0.5


@dataclass
class PlatformFaults:
    """What goes wrong now."""

    outage: bool = False
    lose_replies: bool = False
    late_writes: bool = False
    throttle: bool = False


class ReachedPlatform(Platform):
    """Calls of one process on the platform's store."""

    def __init__(
        self,
        store: MemoryPlatform,
        node: Node,
        faults: PlatformFaults,
    ) -> None:
        """Remember whose calls these are."""
        self._store = store
        self._node = node
        self._faults = faults
        self._late: set[asyncio.Task[None]] = set()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        return await self._read(partial(self._store.get, key))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write conditionally."""
        put = partial(self._store.put, expected_version=expected_version)
        return await self._write(partial(put, key, value))

    async def delete(self, key: str, *, expected_version: int) -> int:
        """Delete conditionally."""
        delete = partial(self._store.delete, expected_version=expected_version)
        return await self._write(partial(delete, key))

    async def list(self, prefix: str) -> Listing:
        """Read all objects under a prefix."""
        return await self._read(partial(self._store.list, prefix))

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_seconds: float,
    ) -> Listing:
        """Wait for changes."""
        watch = partial(self._store.watch, after_revision=after_revision)
        return await self._read(
            partial(watch, prefix, wait_seconds=wait_seconds),
        )

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of instances."""
        return await self._read(self._store.instances)

    async def _read(self, call: Callable[[], Awaitable[_Found]]) -> _Found:
        await self._enter()
        if self._cut_off:
            await anyio.sleep(_CALL_SECONDS)
            raise UncertainError('no reply')
        found = await call()
        if self._faults.outage:
            raise UnavailableError('outage')
        return found

    async def _write(self, call: Callable[[], Awaitable[_Found]]) -> _Found:
        await self._enter()
        if self._cut_off or (self._faults.late_writes and self._chance()):
            if self._chance():
                self._apply_late(call)
            await anyio.sleep(_CALL_SECONDS)
            raise UncertainError('no reply')
        found = await call()
        if self._faults.lose_replies and self._chance():
            raise UncertainError('reply lost')
        return found

    async def _enter(self) -> None:
        await anyio.sleep(self._node.network.delay())
        if not self._node.alive:
            raise UnavailableError('dead')
        if self._faults.outage:
            raise UnavailableError('outage')
        if self._faults.throttle and self._chance():
            raise ThrottledError(_RETRY_SECONDS)

    @property
    def _cut_off(self) -> bool:
        return self._node.network.holds(self._node.address, ADDRESS)

    def _chance(self) -> bool:
        return self._node.network.random.random() < _PART

    def _apply_late(self, call: Callable[[], Awaitable[Any]]) -> None:
        task = asyncio.create_task(self._late_write(call))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _late_write(self, call: Callable[[], Awaitable[Any]]) -> None:
        seconds = self._node.network.random.random() * _MOST_LATE_SECONDS
        await asyncio.sleep(seconds)
        with suppress(PlatformError):
            await call()
