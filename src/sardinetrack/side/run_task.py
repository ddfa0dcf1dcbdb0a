"""Follow one order from its arrival to its answer."""

from __future__ import annotations

import anyio

from sardinetrack.http.asgi import Exchange
from sardinetrack.messages.run import Fate, RunResult
from sardinetrack.side.answers import answer_result
from sardinetrack.side.attempt import Attempt
from sardinetrack.side.events import Refused, Started
from sardinetrack.side.handover import HandOver


class BrokenAnswerError(Exception):
    """The answer ended early; raised so that the connection breaks too."""


class RunTask:
    """Waits for the verdict, runs the request, minds the entry."""

    def __init__(
        self,
        exchange: Exchange,
        attempt: Attempt,
        max_run_seconds: float,
    ) -> None:
        """Prepare the task of a submitted order."""
        self._exchange = exchange
        self._attempt = attempt
        self._max_run_seconds = max_run_seconds
        self._answered = False
        self._gone = False

    async def run(self, hand_over: HandOver, body: bytes) -> None:
        """Answer the entry.

        :raises BrokenAnswerError: the answer could not be completed.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._mind_entry, tasks.cancel_scope)
            verdict = await self._attempt.verdict()
            if isinstance(verdict, Refused):
                await answer_result(self._exchange, verdict.run_result)
                self._answered = True
            else:
                tasks.start_soon(self._mind_stop, tasks.cancel_scope)
                await self._hand_over(hand_over, body, verdict)
            tasks.cancel_scope.cancel()
        if not self._answered:
            await self._break_off()

    async def _hand_over(
        self,
        hand_over: HandOver,
        body: bytes,
        started: Started,
    ) -> None:
        with anyio.move_on_after(self._max_run_seconds):
            self._answered = await hand_over.run(body, started)

    async def _mind_entry(self, scope: anyio.CancelScope) -> None:
        await self._exchange.gone()
        self._gone = True
        scope.cancel()

    async def _mind_stop(self, scope: anyio.CancelScope) -> None:
        await self._attempt.stopped()
        scope.cancel()

    async def _break_off(self) -> None:
        if self._gone:
            return
        if self._exchange.started:
            raise BrokenAnswerError(self._attempt.order.attempt_id)
        incarnation = self._attempt.order.incarnation
        await answer_result(
            self._exchange,
            RunResult(Fate.STOPPED, incarnation, reason='stopped'),
        )
