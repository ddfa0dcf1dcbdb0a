"""The task of one shard: gathers operations and writes them together."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio

from sardinetrack.once.draft import Draft
from sardinetrack.once.log import ShardLog
from sardinetrack.once.operations import (
    ClaimOperation,
    EndOperation,
    Operation,
    release_of,
)
from sardinetrack.once.record import ClaimState
from sardinetrack.store.api import (
    PlatformError,
    ThrottledError,
    UncertainError,
)
from sardinetrack.store.backoff import Backoff

_LOG: Final = logging.getLogger('sardinetrack.once')
_MOST_WAITING: Final = 10_000
_MOST_TOGETHER: Final = 200
_NOT_TAKEN: Final = (
    anyio.WouldBlock,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
)


@dataclass(frozen=True, slots=True)
class Pace:
    """How long operations wait for others to share their write."""

    gather_seconds: float = 0.02
    """For a claim or a release: somebody waits for it."""
    linger_seconds: float = 0.5
    """For an end that nobody waits for; a claim takes it along earlier."""

    def patience_seconds(self, operation: Operation) -> float:
        """Tell how long an operation may wait."""
        if isinstance(operation, ClaimOperation):
            return self.gather_seconds
        if operation.state is ClaimState.FREE:
            return self.gather_seconds
        return self.linger_seconds


class Shard:
    """Takes operations over a stream; one write is under way at a time.

    An end is kept until it is written. One that is lost with its process
    does no harm: the claim counts as running, later as "outcome unknown",
    and nothing runs twice.
    """

    def __init__(self, log: ShardLog, pace: Pace, chance: random.Random):
        """Prepare the task.

        :param chance: source of the jitter after errors.
        """
        self._log = log
        self._pace = pace
        self._backoff = Backoff(chance)
        streams = anyio.create_memory_object_stream[Operation](_MOST_WAITING)
        self._sender = streams[0]
        self._receiver = streams[1]
        self._backlog: list[Operation] = []
        self._closing = False
        self._down_until = -math.inf

    def post(self, operation: Operation) -> bool:
        """Hand in an operation; never blocks.

        :return: whether it was taken.
        """
        try:
            self._sender.send_nowait(operation)
        except _NOT_TAKEN as error:
            _LOG.warning('once: an operation is dropped: %r', error)
            return False
        return True

    def close(self) -> None:
        """Take no more; ``run`` returns when all is written."""
        self._sender.close()

    async def run(self) -> None:
        """Work until closed or cancelled."""
        with self._receiver:
            while not self._closing or self._backlog:
                batch = await self._gather()
                await self._work(batch)

    async def _gather(self) -> list[Operation]:
        batch = self._backlog
        self._backlog = []
        deadline = self._down_until if batch else math.inf
        while len(batch) < _MOST_TOGETHER:
            operation = await self._next_by(deadline)
            if operation is None:
                break
            batch.append(operation)
            patience_seconds = self._pace.patience_seconds(operation)
            deadline = min(deadline, anyio.current_time() + patience_seconds)
        return batch

    async def _next_by(self, deadline: float) -> Operation | None:
        if self._closing:
            await anyio.sleep_until(min(deadline, self._down_until))
            return None
        try:
            with anyio.CancelScope(deadline=deadline):
                return await self._receiver.receive()
        except anyio.EndOfStream:
            self._closing = True
        return None

    async def _work(self, batch: Sequence[Operation]) -> None:
        operations = _still_wanted(batch)
        if not operations:
            return
        pause_seconds = self._down_until - anyio.current_time()
        if pause_seconds > 0:
            self._keep(operations, pause_seconds)
            return
        try:
            draft = await self._log.commit(operations)
        except UncertainError as error:
            self._maybe_written(operations, error)
            await anyio.sleep(self._pace.gather_seconds)
        except PlatformError as error:
            self._failed(operations, error)
        else:
            self._backoff.reset()
            self._done(operations, draft)

    def _done(self, operations: Sequence[Operation], draft: Draft) -> None:
        for operation in operations:
            if isinstance(operation, EndOperation):
                operation.done.set()
            elif operation.abandoned:
                self._backlog.append(release_of(operation))
            else:
                operation.settle(draft.answers[operation])

    def _maybe_written(
        self,
        operations: Sequence[Operation],
        error: UncertainError,
    ) -> None:
        # The reply is lost; the next round reads what stands there. Only
        # when that fails too are the claims told that they can't be had.
        _LOG.info('once: a write may have taken effect: %s', error)
        for operation in operations:
            if isinstance(operation, ClaimOperation):
                operation.maybe_written = True
        self._backlog.extend(operations)
        self._down_until = -math.inf

    def _failed(
        self,
        operations: Sequence[Operation],
        error: PlatformError,
    ) -> None:
        pause_seconds = self._backoff.wait_seconds(error)
        _LOG.info('once: not written yet: %s', error)
        self._down_until = anyio.current_time() + pause_seconds
        retry_after_seconds: float | None = None
        if isinstance(error, ThrottledError):
            retry_after_seconds = error.retry_after_seconds
        self._keep(operations, retry_after_seconds)

    def _keep(
        self,
        operations: Sequence[Operation],
        retry_after_seconds: float | None,
    ) -> None:
        """Keep the ends; tell the claims that nothing is claimed."""
        for operation in operations:
            if isinstance(operation, ClaimOperation):
                operation.fail(retry_after_seconds)
        self._backlog.extend(_still_wanted(operations))


def _still_wanted(operations: Sequence[Operation]) -> list[Operation]:
    """Drop abandoned claims, or take back those that may be written."""
    wanted: list[Operation] = []
    for operation in operations:
        if isinstance(operation, EndOperation) or not operation.abandoned:
            wanted.append(operation)
        elif operation.maybe_written:
            wanted.append(release_of(operation))
    return wanted
