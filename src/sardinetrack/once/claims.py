"""Claims of idempotency keys, many to one write in the platform."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from types import TracebackType
from typing import Final, Self

import anyio
import msgspec
from anyio.abc import TaskGroup

from sardinetrack.entry.claims import (
    ClaimAnswer,
    Claimed,
    ClaimEnd,
    ClaimRequest,
    Claims,
    ClaimsDownError,
)
from sardinetrack.once.log import HEAD_BYTES, ShardLog
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
)
from sardinetrack.once.record import (
    LAYOUT_KEY,
    ClaimState,
    Layout,
)
from sardinetrack.once.shard import Pace, Shard
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
    UnavailableError,
    UncertainError,
)

_LOG: Final = logging.getLogger('sardinetrack.once')
KEEP_SECONDS: Final = 86_400.0
SHARDS: Final = 4
_CLAIM_SECONDS: Final = 3.0
_FLUSH_SECONDS: Final = 2.0
_HEX: Final = 16


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims are kept."""

    shards: int = SHARDS
    """Used by the first entry ever; later ones take what stands there."""
    keep_seconds: float = KEEP_SECONDS
    """How long a record outlives the longest run of its request."""
    head_bytes: int = HEAD_BYTES
    pace: Pace = field(default_factory=Pace)


class ShardedClaims(Claims):
    """Conditional writes make the claims; nothing is kept in the process.

    All claims of a shard pass through one object. Of two entries that write
    it at the same version one fails and looks again, so that a key is
    claimed once, through any partition or restart.
    """

    def __init__(
        self,
        platform: Platform,
        settings: ClaimSettings | None = None,
        *,
        wall_clock: Callable[[], float] = time.time,
        chance: random.Random | None = None,
    ) -> None:
        """Prepare; use it as a context manager.

        :param wall_clock: seconds since the epoch, about equal everywhere.
        :param chance: source of the jitter after errors.
        """
        self._platform = platform
        self._settings = settings or ClaimSettings()
        self._wall_clock = wall_clock
        self._chance = chance or random.Random()
        self._shards: dict[int, Shard] = {}
        self._layout: Layout | None = None
        self._stack = AsyncExitStack()
        self._tasks: TaskGroup

    async def __aenter__(self) -> Self:
        """Open the task group of the shards."""
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group(),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Write what is left, for a bounded time."""
        for shard in self._shards.values():
            shard.close()
        self._tasks.cancel_scope.deadline = (
            anyio.current_time() + _FLUSH_SECONDS
        )
        await self._stack.aclose()

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key before its request is dispatched."""
        operation = ClaimOperation(request)
        try:
            with anyio.move_on_after(_CLAIM_SECONDS):
                await self._claim(operation)
        except PlatformError as error:
            raise ClaimsDownError from error
        except BaseException:
            await self._take_back(operation)
            raise
        if operation.answer is None:
            operation.abandoned = True
            raise ClaimsDownError(operation.retry_after_seconds)
        return operation.answer

    async def finish(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Hand in the end of a request that ran or may have run."""
        await self._end(claimed, ClaimState(end.value))

    async def release(self, claimed: Claimed) -> None:
        """Forget the claim; returns when that is written."""
        operation = await self._end(claimed, ClaimState.FREE)
        if operation is not None:
            await operation.done.wait()

    async def _claim(self, operation: ClaimOperation) -> None:
        shard = await self._shard(operation)
        if shard.post(operation):
            await operation.done.wait()

    async def _take_back(self, operation: ClaimOperation) -> None:
        # A claim that stands although its caller has hung up would answer
        # the caller's resend with "in progress" for a request that never ran.
        operation.abandoned = True
        if isinstance(operation.answer, Claimed):
            await self._end(operation.answer, ClaimState.FREE)

    async def _end(
        self,
        claimed: Claimed,
        state: ClaimState,
    ) -> EndOperation | None:
        operation = EndOperation(
            claimed.claim,
            state,
            claimed.valid_until_seconds,
        )
        with anyio.CancelScope(shield=True):
            shard = await self._shard(operation)
        return operation if shard.post(operation) else None

    async def _shard(self, operation: Operation) -> Shard:
        if self._layout is None:
            self._layout = await self._read_layout()
        number = int(operation.key, _HEX) % self._layout.shards
        if number not in self._shards:
            self._shards[number] = self._open(number)
        return self._shards[number]

    def _open(self, number: int) -> Shard:
        log = ShardLog(
            self._platform,
            number,
            keep_seconds=self._settings.keep_seconds,
            head_bytes=self._settings.head_bytes,
            wall_clock=self._wall_clock,
        )
        shard = Shard(log, self._settings.pace, self._chance)
        self._tasks.start_soon(shard.run)
        return shard

    async def _read_layout(self) -> Layout:
        stored = await self._platform.get(LAYOUT_KEY)
        if stored is None:
            stored = await self._write_layout()
        try:
            layout = msgspec.json.decode(stored.value, type=Layout)
        except msgspec.DecodeError as error:
            raise UnavailableError(f'unreadable layout: {error}') from error
        _LOG.info('once: shards=%d', layout.shards)
        return layout

    async def _write_layout(self) -> StoredObject:
        layout = Layout(self._settings.shards)
        try:
            return await self._platform.put(
                LAYOUT_KEY,
                msgspec.json.encode(layout),
                expected_version=0,
            )
        except ConflictError as error:
            if error.current is None:
                raise UncertainError('the layout changes') from error
            return error.current
