"""Takes a stream over from a server that is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any, Final

from sardinetrack.relay.attempt import (
    ResponseClaim,
    SendOutcome,
    ServerAttempt,
)

ACCEPT_SECONDS: Final = 0.3
"""From the head of the second response, whose first event follows a prefill, to
the end of the silent attempt; two engines may work on a stream for 0.4 s."""


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


class Relief(ResponseClaim):
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
        max_seconds: float,
    ) -> None:
        """Start it.

        :param silent: the attempt whose server is silent.
        :param send: places and sends the second attempt, and returns the last
            one that was sent; ``None`` if it could not be sent.
        :param report: called once, unless the caller leaves before.
        :param max_seconds: for another server to accept the request.
        """
        self.accepted = False
        self._silent = silent
        self._silent_since_seconds = silent.last_data_seconds
        self._report = report
        self._loop = asyncio.get_running_loop()
        self._due_seconds = self._loop.time() + max_seconds
        self._task = self._loop.create_task(send(self))
        self._task.add_done_callback(self._ended)

    @property
    def pending(self) -> bool:
        """Whether no server has accepted the request yet, but one may."""
        return not self.accepted and not self._task.done()

    @property
    def _is_needed(self) -> bool:
        """Whether the silent server has not gone on."""
        silent = self._silent
        if silent.done.cancelled():
            # The caller has left, or its deadline has passed.
            return False
        if silent.done.done():
            return silent.done.result() is not SendOutcome.DELIVERED
        return silent.last_data_seconds <= self._silent_since_seconds

    def check(self, now: float) -> None:
        """Cancel it if the silent server has gone on, or it takes too long.

        :param now: on the clock of the event loop.
        """
        if self.pending and (not self._is_needed or now >= self._due_seconds):
            self._task.cancel()

    def announce(self, done: asyncio.Future[SendOutcome]) -> None:
        """Take over soon, unless the second attempt ends before."""
        self._loop.call_later(ACCEPT_SECONDS, self._accept_announced, done)

    def _accept_announced(self, done: asyncio.Future[SendOutcome]) -> None:
        if self.pending and not done.done():
            self.accept(is_stream=True)

    def accept(self, *, is_stream: bool) -> bool:
        """Take over, unless the silent server has gone on; then cancel.

        Only a stream takes over from a server that may still go on.
        """
        if self.accepted:
            return True
        if not self._is_needed:
            self._task.cancel()
            return False
        if not is_stream and not self._silent.done.done():
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
        if self.accepted or self._silent.done.cancelled():
            return
        if self._is_needed:
            self._report(ReliefOutcome.NOT_PLACED)
        else:
            self._report(ReliefOutcome.WENT_ON)
