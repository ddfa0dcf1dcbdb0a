"""The platform as one node reaches it, with the faults of the calls."""

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
_MAX_DELAY_SECONDS: Final = 8.0
_FAULT_PROBABILITY: Final = 0.4
_RETRY_SECONDS: Final = 0.5


@dataclass
class PlatformFaults:
    """The active faults of platform calls."""

    outage: bool = False
    lose_replies: bool = False
    late_writes: bool = False
    throttle: bool = False


class NodePlatform(Platform):
    """The platform's store as one node calls it."""

    def __init__(
        self,
        store: MemoryPlatform,
        node: Node,
        faults: PlatformFaults,
    ) -> None:
        """Build the client of one node, with the platform's faults."""
        self._store = store
        self._node = node
        self._faults = faults
        self._late_writes: set[asyncio.Task[None]] = set()

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
        """Read the instance list, which may lag."""
        return await self._read(self._store.instances)

    async def _read(self, call: Callable[[], Awaitable[_Found]]) -> _Found:
        await self._admit()
        if self._is_unreachable:
            await anyio.sleep(_CALL_SECONDS)
            raise UncertainError('no reply')
        found = await call()
        if self._faults.outage:
            raise UnavailableError('outage')
        return found

    async def _write(self, call: Callable[[], Awaitable[_Found]]) -> _Found:
        await self._admit()
        if self._is_unreachable or (
            self._faults.late_writes and self._happens()
        ):
            if self._happens():
                self._apply_late(call)
            await anyio.sleep(_CALL_SECONDS)
            raise UncertainError('no reply')
        found = await call()
        if self._faults.lose_replies and self._happens():
            raise UncertainError('reply lost')
        return found

    async def _admit(self) -> None:
        await anyio.sleep(self._node.network.delay())
        if not self._node.is_running:
            raise UnavailableError('dead')
        if self._faults.outage:
            raise UnavailableError('outage')
        if self._faults.throttle and self._happens():
            raise ThrottledError(_RETRY_SECONDS)

    @property
    def _is_unreachable(self) -> bool:
        return self._node.network.withholds(self._node.address, ADDRESS)

    def _happens(self) -> bool:
        return self._node.network.random.random() < _FAULT_PROBABILITY

    def _apply_late(self, call: Callable[[], Awaitable[Any]]) -> None:
        task = asyncio.create_task(self._write_late(call))
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)

    async def _write_late(self, call: Callable[[], Awaitable[Any]]) -> None:
        seconds = self._node.network.random.random() * _MAX_DELAY_SECONDS
        await asyncio.sleep(seconds)
        with suppress(PlatformError):
            await call()
