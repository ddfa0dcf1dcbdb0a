"""Writes the ends of claims, however long the platform is away."""

from __future__ import annotations

import logging
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from types import TracebackType
from typing import Final, Self

import anyio

from sardinetrack.once.record import ClaimRecord, read_record, write_record
from sardinetrack.platform.api import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
)

_LOG: Final = logging.getLogger('sardinetrack.once')
_WORKERS: Final = 8
_MOST_WAITING: Final = 10_000
_FIRST_PAUSE_SECONDS: Final = 0.2
_LONGEST_PAUSE_SECONDS: Final = 5.0


@dataclass(frozen=True, slots=True)
class Settlement:
    """The end of one claim."""

    key: str
    attempt_id: str
    version: int
    """Version of the claim's object; 0 when it is not known."""
    record: ClaimRecord | None
    """What to write; ``None`` deletes the claim."""
    done: anyio.Event = field(default_factory=anyio.Event)


class Settler:
    """Workers that write settlements until each has succeeded.

    A settlement that is lost with its process does no harm: the claim then
    counts as running, and later as "outcome unknown", so nothing runs twice.
    """

    def __init__(self, platform: Platform) -> None:
        """Build the workers; use it as a context manager."""
        self._platform = platform
        streams = anyio.create_memory_object_stream[Settlement](_MOST_WAITING)
        self._sender = streams[0]
        self._receiver = streams[1]
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start the workers."""
        tasks = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        self._stack.callback(tasks.cancel_scope.cancel)
        for _ in range(_WORKERS):
            tasks.start_soon(self._work)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the workers."""
        await self._stack.aclose()
        self._sender.close()
        self._receiver.close()

    @property
    def waiting(self) -> int:
        """How many settlements no worker has taken up."""
        return self._receiver.statistics().current_buffer_used

    async def settle(self, settlement: Settlement) -> None:
        """Hand in a settlement and wait until it is written.

        Cancelling the wait leaves the settlement with the workers.
        """
        if self.post(settlement):
            await settlement.done.wait()

    def post(self, settlement: Settlement) -> bool:
        """Hand in a settlement; never blocks.

        :return: whether it was taken.
        """
        try:
            self._sender.send_nowait(settlement)
        except anyio.WouldBlock:
            _LOG.warning('once: too many settlements wait, dropped one')
            return False
        return True

    async def _work(self) -> None:
        async for settlement in self._receiver:
            await self._until_written(settlement)
            settlement.done.set()

    async def _until_written(self, settlement: Settlement) -> None:
        pause_seconds = _FIRST_PAUSE_SECONDS
        version = settlement.version
        while True:
            try:
                await self._write(settlement, version)
                return
            except PlatformError as error:
                _LOG.info('once: settlement not written yet: %s', error)
            # A write whose reply was lost may stand already: the next try
            # reads first, and sees that the claim is gone or changed.
            version = 0
            await anyio.sleep(pause_seconds)
            pause_seconds = min(pause_seconds * 2, _LONGEST_PAUSE_SECONDS)

    async def _write(self, settlement: Settlement, version: int) -> None:
        if not version:
            version = _own_version(
                await self._platform.get(settlement.key),
                settlement,
            )
        if not version:
            return
        try:
            await self._write_at(settlement, version)
        except ConflictError as error:
            if _own_version(error.current, settlement):
                raise

    async def _write_at(self, settlement: Settlement, version: int) -> None:
        if settlement.record is None:
            await self._platform.delete(
                settlement.key,
                expected_version=version,
            )
            return
        await self._platform.put(
            settlement.key,
            write_record(settlement.record),
            expected_version=version,
        )


def _own_version(
    current: StoredObject | None,
    settlement: Settlement,
) -> int:
    """Return the version of the claim while it is one's own, 0 otherwise."""
    if current is None or current.deleted:
        return 0
    record = read_record(current.value)
    if record is None or record.attempt_id != settlement.attempt_id:
        return 0
    return 0 if record == settlement.record else current.version
