"""Claims of idempotency keys; one write to the store holds many."""

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
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimStore,
    ClaimStoreUnavailableError,
)
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.once.log import MAX_HEAD_BYTES, ShardLog
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
from sardinetrack.once.shard import BatchDelays, Shard
from sardinetrack.store.api import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
    UnavailableError,
    UncertainError,
)

_LOG: Final = logging.getLogger('sardinetrack.once')
DEFAULT_RETENTION_SECONDS: Final = 86_400.0
DEFAULT_SHARDS: Final = 4
_CLAIM_TIMEOUT_SECONDS: Final = 3.0
_FLUSH_TIMEOUT_SECONDS: Final = 2.0
_HEX_BASE: Final = 16
_LAYOUTS: Final = JsonDecoder[Layout](Layout)


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims are stored."""

    shards: int = DEFAULT_SHARDS
    """Used by the first entry ever; later ones read the stored layout."""
    key_retention_seconds: float = DEFAULT_RETENTION_SECONDS
    """How long a record is kept after the longest run of its request."""
    max_head_bytes: int = MAX_HEAD_BYTES
    batch_delays: BatchDelays = field(default_factory=BatchDelays)


class ShardedClaimStore(ClaimStore):
    """Makes claims by conditional writes to the store.

    All claims of a shard pass through one stored object. If two entries write
    it at the same version, one fails and reads it again, so that a key is
    claimed once, through any partition or restart: no claim depends on the
    state of a process.
    """

    def __init__(
        self,
        platform: Platform,
        settings: ClaimSettings | None = None,
        *,
        wall_clock: Callable[[], float] = time.time,
        jitter_rng: random.Random | None = None,
    ) -> None:
        """Build a claim store; use it as a context manager.

        :param wall_clock: returns seconds since the epoch, about equal in all
            processes.
        :param jitter_rng: source of the jitter after errors.
        """
        self._platform = platform
        self._settings = settings or ClaimSettings()
        self._wall_clock = wall_clock
        self._rng = jitter_rng or random.Random()
        self._shards: dict[int, Shard] = {}
        self._layout: Layout | None = None
        self._stack = AsyncExitStack()
        self._tasks: TaskGroup

    async def __aenter__(self) -> Self:
        """Start the task group of the shards."""
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
        """Write the remaining operations, for a limited time."""
        for shard in self._shards.values():
            shard.close()
        self._tasks.cancel_scope.deadline = (
            anyio.current_time() + _FLUSH_TIMEOUT_SECONDS
        )
        await self._stack.aclose()

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Claim a key before its request is dispatched."""
        operation = ClaimOperation(request)
        try:
            with anyio.move_on_after(_CLAIM_TIMEOUT_SECONDS):
                await self._post_claim(operation)
        except PlatformError as error:
            raise ClaimStoreUnavailableError from error
        except BaseException:
            await self._withdraw(operation)
            raise
        if operation.result is None:
            operation.abandoned = True
            raise ClaimStoreUnavailableError(operation.retry_after_seconds)
        return operation.result

    async def finish(self, claimed: Claimed, end: ClaimOutcome) -> None:
        """Post the outcome of a request that ran or may have run."""
        await self._post_end(claimed, ClaimState(end.value))

    async def release(self, claimed: Claimed) -> None:
        """Release the claim; returns when the release is written."""
        operation = await self._post_end(claimed, ClaimState.FREE)
        if operation is not None:
            await operation.done.wait()

    async def _post_claim(self, operation: ClaimOperation) -> None:
        shard = await self._shard_for(operation)
        if shard.post(operation):
            await operation.done.wait()

    async def _withdraw(self, operation: ClaimOperation) -> None:
        # If the claim of a caller that has disconnected stayed, the caller's
        # resend would be rejected as "in progress", for a request that never
        # ran.
        operation.abandoned = True
        if isinstance(operation.result, Claimed):
            await self._post_end(operation.result, ClaimState.FREE)

    async def _post_end(
        self,
        claimed: Claimed,
        state: ClaimState,
    ) -> EndOperation | None:
        operation = EndOperation(
            claimed.request,
            state,
            claimed.valid_until_seconds,
        )
        with anyio.CancelScope(shield=True):
            shard = await self._shard_for(operation)
        return operation if shard.post(operation) else None

    async def _shard_for(self, operation: Operation) -> Shard:
        if self._layout is None:
            self._layout = await self._read_layout()
        number = int(operation.key, _HEX_BASE) % self._layout.shards
        if number not in self._shards:
            self._shards[number] = self._open_shard(number)
        return self._shards[number]

    def _open_shard(self, number: int) -> Shard:
        log = ShardLog(
            self._platform,
            number,
            retention_seconds=self._settings.key_retention_seconds,
            max_head_bytes=self._settings.max_head_bytes,
            wall_clock=self._wall_clock,
        )
        shard = Shard(log, self._settings.batch_delays, self._rng)
        self._tasks.start_soon(shard.run)
        return shard

    async def _read_layout(self) -> Layout:
        stored = await self._platform.get(LAYOUT_KEY)
        if stored is None:
            stored = await self._write_layout()
        try:
            layout = _LAYOUTS.decode(stored.value)
        except UnreadableError as error:
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
                raise UncertainError('the layout is changing') from error
            return error.current
