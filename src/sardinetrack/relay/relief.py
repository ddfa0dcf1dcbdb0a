"""Takes a stream over from a server that is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

from sardinetrack.relay.attempt import SendOutcome, ServerAttempt


class ReliefOutcome(StrEnum):
    """What became of a silent server's stream; the label of its metric."""

    TAKEN_OVER = 'taken_over'
    """Another server goes on with it."""
    WENT_ON = 'went_on'
    """The silent server did, before another one had accepted it."""
    NOT_ALLOWED = 'not_allowed'
    """It may not be sent to another server now."""
    NOT_PLACED = 'not_placed'
    """No other server has accepted it."""


SendRelief = Callable[['Relief'], Coroutine[Any, Any, ServerAttempt | None]]


class Relief:
    """A second attempt, which takes over if its server accepts the request.

    A sound server may fall silent and go on. If its attempt ended before
    another server has accepted the request, whatever prevents that would cut a
    response that was still coming.
    """

    def __init__(
        self,
        silent: ServerAttempt,
        send: SendRelief,
        report: Callable[[ReliefOutcome], None],
    ) -> None:
        """Start it.

        :param silent: the attempt whose server is silent.
        :param send: places and sends the second attempt, and returns the last
            one that was sent; ``None`` if it could not be sent.
        :param report: called once, unless the caller leaves before.
        """
        self.accepted = False
        self._silent = silent
        self._silent_since_seconds = silent.last_data_seconds
        self._report = report
        self._task = asyncio.get_running_loop().create_task(send(self))
        self._task.add_done_callback(self._ended)

    @property
    def pending(self) -> bool:
        """Whether no server has accepted the request yet, but one may."""
        return not self.accepted and not self._task.done()

    @property
    def _is_needed(self) -> bool:
        """Whether the silent server has not gone on."""
        silent = self._silent
        if silent.done.done():
            return silent.done.result() is not SendOutcome.DELIVERED
        return silent.last_data_seconds <= self._silent_since_seconds

    def check(self) -> None:
        """Cancel it if the silent server has gone on."""
        if self.pending and not self._is_needed:
            self._task.cancel()

    def accept(self) -> bool:
        """Take over, unless the silent server has gone on; then cancel."""
        if not self._is_needed:
            self._task.cancel()
            return False
        self.accepted = True
        self._report(ReliefOutcome.TAKEN_OVER)
        self._silent.abandon()
        return True

    async def attempt(self) -> ServerAttempt | None:
        """Wait for the end.

        :return: the last attempt that was sent, if the first took over.
        """
        await asyncio.wait({self._task})
        ended = self.accepted and not self._task.cancelled()
        return self._task.result() if ended else None

    async def end(self) -> None:
        """Cancel it unless it has ended."""
        self._task.cancel()
        await asyncio.wait({self._task})

    def _ended(self, task: asyncio.Task[ServerAttempt | None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            task.get_loop().call_exception_handler(
                {
                    'message': 'the relief of a silent server has failed',
                    'exception': task.exception(),
                }
            )
        if self.accepted:
            return
        if not self._is_needed:
            self._report(ReliefOutcome.WENT_ON)
        elif not task.cancelled():
            self._report(ReliefOutcome.NOT_PLACED)
