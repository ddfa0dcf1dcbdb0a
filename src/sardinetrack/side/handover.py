"""Hand a started request to the backend server and stream its answer."""

from __future__ import annotations

import math
from typing import Final

import anyio

from sardinetrack.catalogue.api import Pool
from sardinetrack.http.asgi import Exchange
from sardinetrack.http.client import BrokenError, NotSentError, StreamedReply
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.run import Fate, RunResult
from sardinetrack.side.answers import answer_result, start_answer
from sardinetrack.side.attempt import Attempt
from sardinetrack.side.backend_watch import ask_probe
from sardinetrack.side.costs import meter_for
from sardinetrack.side.events import Started
from sardinetrack.side.refusals import DaemonRefusal
from sardinetrack.side.run_parts import RunParts

_LOG: Final = PartLogger(Part.SIDE)


class HandOver:
    """One run at the backend server; ``run`` is called once."""

    def __init__(
        self,
        attempt: Attempt,
        exchange: Exchange,
        pool: Pool,
        parts: RunParts,
    ) -> None:
        """Prepare the run."""
        self._attempt = attempt
        self._exchange = exchange
        self._parts = parts
        self._meter = meter_for(pool)
        self._started_at = anyio.current_time()

    async def run(self, body: bytes, started: Started) -> bool:
        """Run the request.

        :return: whether the entry got a complete answer of this side.
        """
        try:
            await self._relay(body, started)
        except NotSentError as error:
            await self._failed(error)
            await self._answer_unsent()
        except BrokenError as error:
            await self._failed(error)
            return await self._answer_broken()
        except TimeoutError:
            _LOG.warning(
                'entry does not read',
                attempt_id=self._attempt.order.attempt_id,
                entry=self._attempt.order.entry,
            )
            return False
        finally:
            # Cancelled, or the entry is gone or does not read: told as a
            # failure of the server, a link that blinks would strike all
            # requests that ran behind it, and two blinks condemn them.
            await self._over(whole=False, stopped=True)
        return True

    async def _relay(self, body: bytes, started: Started) -> None:
        order = self._attempt.order
        async with self._parts.backend.run(order, body) as reply:
            await self._start(reply, started)
            await self._pass_on(reply)
        # Before the last word to the entry, so that the slot does not wait
        # for an entry that reads slowly.
        await self._over(whole=True)
        await self._exchange.finish()

    async def _pass_on(self, reply: StreamedReply) -> None:
        # A frozen entry leaves its connection open and reads nothing: the
        # request would keep its slot until the end of its run time. One scope
        # serves all pieces, because a scope a token costs more than a write.
        sending = anyio.CancelScope()
        with sending:
            async for chunk in reply.chunks():
                self._meter.feed(chunk)
                sending.deadline = (
                    anyio.current_time() + self._parts.send_seconds
                )
                await self._exchange.write(chunk)
                sending.deadline = math.inf
        if sending.cancelled_caught:
            raise TimeoutError

    async def _start(self, reply: StreamedReply, started: Started) -> None:
        run_result = RunResult(
            Fate.RUNNING,
            self._attempt.order.incarnation,
            status=reply.status,
            free=started.free,
        )
        await start_answer(self._exchange, run_result, reply)

    async def _failed(self, error: Exception) -> None:
        _LOG.warning(
            'backend server failed',
            attempt_id=self._attempt.order.attempt_id,
            backend_server=self._parts.backend.name,
            error=str(error),
        )
        ask_probe(self._parts.probe)
        await self._over(whole=False)

    async def _answer_unsent(self) -> None:
        run_result = RunResult(
            Fate.NOT_STARTED,
            self._attempt.order.incarnation,
            reason=DaemonRefusal.NO_SERVER,
        )
        self._parts.note_refusal(self._attempt.order, DaemonRefusal.NO_SERVER)
        await answer_result(self._exchange, run_result)

    async def _answer_broken(self) -> bool:
        if self._exchange.started:
            return False
        run_result = RunResult(Fate.FAILED, self._attempt.order.incarnation)
        await answer_result(self._exchange, run_result)
        return True

    async def _over(self, *, whole: bool, stopped: bool = False) -> None:
        run_seconds = anyio.current_time() - self._started_at
        await self._attempt.over(
            whole=whole,
            cost=self._meter.cost(run_seconds),
            stopped=stopped,
        )
