"""One attempt at running a call: the run request to a side and its response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio

from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.meters import Meter, meter_for
from sardinetrack.entry.response_relay import ResponseRelay
from sardinetrack.entry.run_request import run_request_headers
from sardinetrack.entry.side_directory import SideDirectory, SideEndpoint
from sardinetrack.entry.stall_detection import StallDetector
from sardinetrack.entry.status_query import StatusQuery
from sardinetrack.entry.truncation import truncate_response
from sardinetrack.http.asgi import ClientDisconnectedError
from sardinetrack.http.client import (
    ConnectionBrokenError,
    RequestNotSentError,
    StreamedResponse,
)
from sardinetrack.links.run_response import RunResponse
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.run import RUN_PATH, AttemptStatus
from sardinetrack.routing.api import AttemptOutcome, Dispatch

_LOG: Final = ComponentLogger(LogComponent.ENTRY)
_TRUNCATE_AFTER_SECONDS: Final = 1.0
_MARGIN_SECONDS: Final = 5.0
"""The side's own limit on the run ends it first."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of an attempt and its cost."""

    end: AttemptOutcome
    cost: float = 0


_NOT_STARTED: Final = AttemptResult(AttemptOutcome.NOT_STARTED)


class EntryAttempt:
    """Sends one run request and relays its response."""

    def __init__(
        self,
        call: Call,
        dispatch: Dispatch,
        caller: Caller,
        sides: SideDirectory,
        dispatcher: Dispatcher,
    ) -> None:
        self._call = call
        self._dispatch = dispatch
        self._caller = caller
        self._sides = sides
        self._dispatcher = dispatcher
        self._began = dispatcher.clock()
        self._meter: Meter | None = None
        self._relay: ResponseRelay | None = None

    async def run(self) -> AttemptResult:
        """Run the attempt to its end.

        :return: the outcome; the caller has the complete response when it is
            ``COMPLETED``, and possibly a part of it otherwise.
        """
        side = self._sides.find(self._dispatch.side)
        if side is None:
            return _NOT_STARTED
        result = await self._run_monitored(side)
        if result is not None:
            return result
        end = await self._query_outcome(side)
        return AttemptResult(end, self._cost())

    async def _query_outcome(self, side: SideEndpoint) -> AttemptOutcome:
        query = StatusQuery(self._sides, side)
        async with anyio.create_task_group() as tasks:
            if self._caller.started:
                tasks.start_soon(self._truncate_late)
            end = await query.resolve(self._dispatch, self._began)
            tasks.cancel_scope.cancel()
        return end

    async def _truncate_late(self) -> None:
        # The caller gets the error after the other entries have received the
        # strike of a crash. A side that does not respond to the status query
        # must not leave the caller with a stalled stream.
        await anyio.sleep(_TRUNCATE_AFTER_SECONDS)
        with anyio.CancelScope(shield=True):
            await truncate_response(self._call, self._caller)

    async def _run_monitored(self, side: SideEndpoint) -> AttemptResult | None:
        result: AttemptResult | None = None
        run_seconds = self._call.pool.max_run_seconds + _MARGIN_SECONDS
        detector = StallDetector(
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
            detector.start(tasks)
            result = await self._send(side)
            scope.cancel()
        return result

    async def _send(self, side: SideEndpoint) -> AttemptResult | None:
        bids = self._dispatcher.routing.current_bids(side.name)
        try:
            async with self._sides.http.stream(
                'POST',
                side.url(RUN_PATH),
                headers=run_request_headers(
                    self._call, self._dispatch, side, self._sides, bids
                ),
                body=self._call.body,
            ) as response:
                return await self._handle_reply(response)
        except RequestNotSentError:
            return _NOT_STARTED
        except ClientDisconnectedError:
            return AttemptResult(AttemptOutcome.ABANDONED, self._cost())
        except ConnectionBrokenError as error:
            _LOG.info(
                'connection to the side broke',
                attempt_id=self._dispatch.attempt_id,
                side=side.name,
                error=str(error),
            )
            return None

    async def _handle_reply(
        self, streamed: StreamedResponse
    ) -> AttemptResult | None:
        response = RunResponse(streamed)
        match response.run_result.fate:
            case AttemptStatus.NOT_STARTED:
                return _NOT_STARTED
            case AttemptStatus.FAILED:
                return AttemptResult(AttemptOutcome.FAILED)
            case AttemptStatus.STOPPED:
                return AttemptResult(AttemptOutcome.UNKNOWN)
            case AttemptStatus.UNKNOWN:
                return None
        await self._relay_response(response)
        return AttemptResult(AttemptOutcome.COMPLETED, self._cost())

    async def _relay_response(self, response: RunResponse) -> None:
        self._meter = meter_for(
            self._call,
            response.header('content-type') or '',
            self._dispatcher.clock,
            self._began,
        )
        self._relay = ResponseRelay(
            self._call,
            self._caller,
            self._meter,
            self._progress,
        )
        await self._relay.run(response)

    def _silent_seconds(self) -> float:
        received_at = self._relay.received_at if self._relay else self._began
        return anyio.current_time() - received_at

    def _progress(self, cost: float) -> None:
        self._dispatcher.attempt_progress(self._dispatch, cost)

    def _cost(self) -> float:
        return self._meter.cost() if self._meter else 0
