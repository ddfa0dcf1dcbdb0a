"""One attempt at running a call: the order to a side and its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio

from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller
from sardinetrack.entry.cut import cut
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.fate import FateQuery
from sardinetrack.entry.meters import Meter, meter_for
from sardinetrack.entry.order import order_headers
from sardinetrack.entry.relay import Relay
from sardinetrack.entry.sides import KnownSide, Sides
from sardinetrack.entry.silence import SilenceWatch
from sardinetrack.http.asgi import CallerGoneError
from sardinetrack.http.client import BrokenError, NotSentError, StreamedReply
from sardinetrack.links.run_reply import RunReply
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.run import RUN_PATH, Fate
from sardinetrack.routing.api import AttemptEnd, Dispatch

_LOG: Final = PartLogger(Part.ENTRY)
_CUT_AFTER_SECONDS: Final = 1.0
_MARGIN_SECONDS: Final = 5.0
"""The side ends a run by its own clock first."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended and what it cost."""

    end: AttemptEnd
    cost: float = 0


_NOT_STARTED: Final = AttemptResult(AttemptEnd.NOT_STARTED)


class Attempt:
    """Sends one order and relays its answer."""

    def __init__(
        self,
        call: Call,
        dispatch: Dispatch,
        caller: Caller,
        sides: Sides,
        dispatcher: Dispatcher,
    ) -> None:
        """Prepare the attempt."""
        self._call = call
        self._dispatch = dispatch
        self._caller = caller
        self._sides = sides
        self._dispatcher = dispatcher
        self._began = dispatcher.clock()
        self._meter: Meter | None = None
        self._relay: Relay | None = None

    async def run(self) -> AttemptResult:
        """Run to the end.

        :return: the end; the caller has the whole answer when it is
            ``WHOLE``, and maybe a part of it otherwise.
        """
        side = self._sides.find(self._dispatch.side)
        if side is None:
            return _NOT_STARTED
        result = await self._watched(side)
        if result is not None:
            return result
        end = await self._ask(side)
        return AttemptResult(end, self._cost())

    async def _ask(self, side: KnownSide) -> AttemptEnd:
        query = FateQuery(self._sides, side)
        async with anyio.create_task_group() as tasks:
            if self._caller.started:
                tasks.start_soon(self._cut_late)
            end = await query.ask(self._dispatch, self._began)
            tasks.cancel_scope.cancel()
        return end

    async def _cut_late(self) -> None:
        # The caller is told after the other entries know of a crash, but a
        # side that can't be asked must not leave it with a silent stream.
        await anyio.sleep(_CUT_AFTER_SECONDS)
        with anyio.CancelScope(shield=True):
            await cut(self._call, self._caller)

    async def _watched(self, side: KnownSide) -> AttemptResult | None:
        result: AttemptResult | None = None
        run_seconds = self._call.pool.max_run_seconds + _MARGIN_SECONDS
        silence = SilenceWatch(
            self._sides,
            side,
            self._dispatch.attempt_id,
            self._silent_seconds,
            lambda: self._caller.started,
        )
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            scope.deadline = anyio.current_time() + (
                run_seconds + self._dispatch.wait_seconds
            )
            silence.start(tasks)
            result = await self._exchange(side)
            scope.cancel()
        return result

    async def _exchange(self, side: KnownSide) -> AttemptResult | None:
        bids = self._dispatcher.routing.bids_for(side.name)
        try:
            async with self._sides.http.stream(
                'POST',
                side.url(RUN_PATH),
                headers=order_headers(
                    self._call, self._dispatch, side, self._sides, bids
                ),
                body=self._call.body,
            ) as reply:
                return await self._read(reply)
        except NotSentError:
            return _NOT_STARTED
        except CallerGoneError:
            return AttemptResult(AttemptEnd.ABANDONED, self._cost())
        except BrokenError as error:
            _LOG.info(
                'exchange broke',
                attempt_id=self._dispatch.attempt_id,
                side=side.name,
                error=str(error),
            )
            return None

    async def _read(self, streamed: StreamedReply) -> AttemptResult | None:
        reply = RunReply(streamed)
        match reply.run_result.fate:
            case Fate.NOT_STARTED:
                return _NOT_STARTED
            case Fate.FAILED:
                return AttemptResult(AttemptEnd.FAILED)
            case Fate.STOPPED:
                return AttemptResult(AttemptEnd.UNKNOWN)
            case Fate.UNKNOWN:
                return None
        await self._pass_on(reply)
        return AttemptResult(AttemptEnd.WHOLE, self._cost())

    async def _pass_on(self, reply: RunReply) -> None:
        self._meter = meter_for(
            self._call,
            reply.header('content-type') or '',
            self._dispatcher.clock,
            self._began,
        )
        self._relay = Relay(
            self._call,
            self._caller,
            self._meter,
            self._progress,
        )
        await self._relay.run(reply)

    def _silent_seconds(self) -> float:
        heard_at = self._relay.heard_at if self._relay else self._began
        return anyio.current_time() - heard_at

    def _progress(self, cost: float) -> None:
        self._dispatcher.progress(self._dispatch, cost)

    def _cost(self) -> float:
        return self._meter.cost() if self._meter else 0
