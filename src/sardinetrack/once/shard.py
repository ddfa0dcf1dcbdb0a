"""The task of one shard: writes operations in batches."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio

from sardinetrack.once.head_update import HeadUpdate
from sardinetrack.once.log import ShardLog
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
    build_release,
)
from sardinetrack.once.record import ClaimState
from sardinetrack.store.api import (
    PlatformError,
    ThrottledError,
    UncertainError,
)
from sardinetrack.store.backoff import Backoff

_LOG: Final = logging.getLogger('sardinetrack.once')
_MAX_QUEUED: Final = 10_000
_MAX_BATCH: Final = 200
_QUEUE_ERRORS: Final = (
    anyio.WouldBlock,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
)


@dataclass(frozen=True, slots=True)
class BatchDelays:
    """How long operations wait for others that join their batch."""

    claim_delay_seconds: float = 0.02
    """For a claim or a release, which a request waits for."""
    end_delay_seconds: float = 0.5
    """For another end, which no request waits for; a claim's batch includes it
    earlier."""

    def max_wait_seconds(self, operation: Operation) -> float:
        """Return how long an operation may wait for others."""
        if isinstance(operation, ClaimOperation):
            return self.claim_delay_seconds
        if operation.state is ClaimState.FREE:
            return self.claim_delay_seconds
        return self.end_delay_seconds


class Shard:
    """Receives operations over a stream; one write is in progress at a time.

    An end is retried until it is written. The loss of one with its process
    does no harm: the claim counts as running, later as "outcome unknown",
    and nothing runs twice.
    """

    def __init__(
        self, log: ShardLog, batch_delays: BatchDelays, rng: random.Random
    ):
        """Build a shard; ``run`` is its task.

        :param rng: source of the jitter after errors.
        """
        self._log = log
        self._batch_delays = batch_delays
        self._backoff = Backoff(rng)
        streams = anyio.create_memory_object_stream[Operation](_MAX_QUEUED)
        self._sender = streams[0]
        self._receiver = streams[1]
        self._backlog: list[Operation] = []
        self._closing = False
        self._retry_at = -math.inf

    def post(self, operation: Operation) -> bool:
        """Queue an operation; never blocks.

        :return: whether it was queued.
        """
        try:
            self._sender.send_nowait(operation)
        except _QUEUE_ERRORS as error:
            _LOG.warning('once: cannot queue an operation, dropped: %r', error)
            return False
        return True

    def close(self) -> None:
        """Accept no more operations; ``run`` returns when all are written."""
        self._sender.close()

    async def run(self) -> None:
        """Write batches until closed or cancelled."""
        with self._receiver:
            while not self._closing or self._backlog:
                batch = await self._receive_batch()
                await self._write(batch)

    async def _receive_batch(self) -> list[Operation]:
        batch = self._backlog
        self._backlog = []
        deadline = self._retry_at if batch else math.inf
        while len(batch) < _MAX_BATCH:
            operation = await self._receive_by(deadline)
            if operation is None:
                break
            batch.append(operation)
            wait_seconds = self._batch_delays.max_wait_seconds(operation)
            deadline = min(deadline, anyio.current_time() + wait_seconds)
        return batch

    async def _receive_by(self, deadline: float) -> Operation | None:
        if self._closing:
            await anyio.sleep_until(min(deadline, self._retry_at))
            return None
        try:
            with anyio.CancelScope(deadline=deadline):
                return await self._receiver.receive()
        except anyio.EndOfStream:
            self._closing = True
        return None

    async def _write(self, batch: Sequence[Operation]) -> None:
        operations = _drop_abandoned(batch)
        if not operations:
            return
        backoff_seconds = self._retry_at - anyio.current_time()
        if backoff_seconds > 0:
            self._fail_claims(operations, backoff_seconds)
            return
        try:
            draft = await self._log.commit(operations)
        except UncertainError as error:
            self._handle_uncertain(operations, error)
            await anyio.sleep(self._batch_delays.claim_delay_seconds)
        except PlatformError as error:
            self._handle_failure(operations, error)
        else:
            self._backoff.reset()
            self._complete(operations, draft)

    def _complete(
        self, operations: Sequence[Operation], draft: HeadUpdate
    ) -> None:
        for operation in operations:
            if isinstance(operation, EndOperation):
                operation.done.set()
            elif operation.abandoned:
                self._backlog.append(build_release(operation))
            else:
                operation.resolve(draft.results[operation])

    def _handle_uncertain(
        self,
        operations: Sequence[Operation],
        error: UncertainError,
    ) -> None:
        # The response is lost; the next commit reads the stored head. Only if
        # that fails too, the claims fail.
        _LOG.info('once: the outcome of a write is unknown: %s', error)
        for operation in operations:
            if isinstance(operation, ClaimOperation):
                operation.maybe_written = True
        self._backlog.extend(operations)
        self._retry_at = -math.inf

    def _handle_failure(
        self,
        operations: Sequence[Operation],
        error: PlatformError,
    ) -> None:
        backoff_seconds = self._backoff.next_delay_seconds(error)
        _LOG.info('once: a write failed: %s', error)
        self._retry_at = anyio.current_time() + backoff_seconds
        retry_after_seconds: float | None = None
        if isinstance(error, ThrottledError):
            retry_after_seconds = error.retry_after_seconds
        self._fail_claims(operations, retry_after_seconds)

    def _fail_claims(
        self,
        operations: Sequence[Operation],
        retry_after_seconds: float | None,
    ) -> None:
        """Fail the claims, as nothing is claimed; keep the ends queued."""
        for operation in operations:
            if isinstance(operation, ClaimOperation):
                operation.fail(retry_after_seconds)
        self._backlog.extend(_drop_abandoned(operations))


def _drop_abandoned(operations: Sequence[Operation]) -> list[Operation]:
    """Drop abandoned claims, or release those that may be written."""
    remaining: list[Operation] = []
    for operation in operations:
        if isinstance(operation, EndOperation) or not operation.abandoned:
            remaining.append(operation)
        elif operation.maybe_written:
            remaining.append(build_release(operation))
    return remaining
