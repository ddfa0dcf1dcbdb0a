"""Run a started request at the backend server and stream its response."""

from __future__ import annotations

import math
from typing import Final

import anyio

from sardinetrack.catalogue.api import Pool
from sardinetrack.http.asgi import HttpExchange
from sardinetrack.http.client import (
    ConnectionBrokenError,
    OtherResponseError,
    RequestNotSentError,
    StreamedResponse,
)
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.run import AttemptStatus, RunResult
from sardinetrack.side.attempt import SideAttempt
from sardinetrack.side.backend_watch import request_probe
from sardinetrack.side.costs import meter_for
from sardinetrack.side.events import Started
from sardinetrack.side.refusals import DaemonRefusal
from sardinetrack.side.responses import send_result, start_response
from sardinetrack.side.run_dependencies import RunDependencies

_LOG: Final = ComponentLogger(LogComponent.SIDE)


class BackendRun:
    """One run at the backend server; ``run`` is called once."""

    def __init__(
        self,
        attempt: SideAttempt,
        exchange: HttpExchange,
        pool: Pool,
        dependencies: RunDependencies,
    ) -> None:
        """Create the run; its run time is measured from here on.

        :param attempt: the attempt whose end is reported.
        :param exchange: the entry's HTTP exchange.
        :param pool: pool of the backend server; determines how cost is
            measured.
        :param dependencies: parts of the side that all runs share.
        """
        self._attempt = attempt
        self._exchange = exchange
        self._dependencies = dependencies
        self._meter = meter_for(pool)
        self._started_at = anyio.current_time()

    async def run(self, body: bytes, started: Started) -> bool:
        """Run the request.

        :return: whether the entry got a complete response from this side.
        """
        try:
            await self._relay(body, started)
        except RequestNotSentError as error:
            await self._report_failure(error)
            await self._respond_not_started()
        except ConnectionBrokenError as error:
            return await self._end_broken(error)
        except TimeoutError:
            _LOG.warning(
                'entry stopped reading the response; cancelling the request',
                attempt_id=self._attempt.run_request.attempt_id,
                entry=self._attempt.run_request.entry,
            )
            return False
        finally:
            # Cancelled, or the entry disconnected or does not read. If these
            # ends were reported as failures of the server, an unstable link
            # would put a strike on all requests that ran over it, and after
            # two link failures they would be blocked.
            await self._report_end(complete=False, stopped=True)
        return True

    async def _relay(self, body: bytes, started: Started) -> None:
        run_request = self._attempt.run_request
        async with self._dependencies.backend.run(
            run_request, body
        ) as response:
            await self._start_response(response, started)
            await self._stream_body(response)
        # Before the final chunk to the entry, so that the slot does not wait
        # for an entry that reads slowly.
        await self._report_end(complete=True)
        await self._exchange.finish()

    async def _stream_body(self, response: StreamedResponse) -> None:
        # A frozen entry keeps its connection open and reads nothing: the
        # request would occupy its slot until its run time ends. One scope
        # serves all chunks, because creating a scope for each token costs more
        # than a write.
        sending = anyio.CancelScope()
        with sending:
            async for chunk in response.chunks():
                self._meter.feed(chunk)
                sending.deadline = (
                    anyio.current_time() + self._dependencies.send_seconds
                )
                await self._exchange.write(chunk)
                sending.deadline = math.inf
        if sending.cancelled_caught:
            raise TimeoutError

    async def _start_response(
        self, response: StreamedResponse, started: Started
    ) -> None:
        run_result = RunResult(
            AttemptStatus.RUNNING,
            self._attempt.run_request.incarnation,
            status=response.status,
            free=started.free,
        )
        await start_response(self._exchange, run_result, response)

    async def _end_broken(self, error: ConnectionBrokenError) -> bool:
        if not isinstance(error, OtherResponseError):
            await self._report_failure(error)
            return await self._respond_failed()
        # Not a failure of the server, which may still run the request: the
        # outcome is unknown, and the request gets no strike.
        _LOG.warning(
            'response to another request',
            attempt_id=self._attempt.run_request.attempt_id,
            backend_server=self._dependencies.backend.name,
            error=str(error),
        )
        return False

    async def _report_failure(self, error: Exception) -> None:
        _LOG.warning(
            'backend server failed',
            attempt_id=self._attempt.run_request.attempt_id,
            backend_server=self._dependencies.backend.name,
            error=str(error),
        )
        request_probe(self._dependencies.probe)
        await self._report_end(complete=False)

    async def _respond_not_started(self) -> None:
        run_result = RunResult(
            AttemptStatus.NOT_STARTED,
            self._attempt.run_request.incarnation,
            reason=DaemonRefusal.NO_SERVER,
        )
        self._dependencies.record_refusal(
            self._attempt.run_request, DaemonRefusal.NO_SERVER
        )
        await send_result(self._exchange, run_result)

    async def _respond_failed(self) -> bool:
        if self._exchange.started:
            return False
        run_result = RunResult(
            AttemptStatus.FAILED, self._attempt.run_request.incarnation
        )
        await send_result(self._exchange, run_result)
        return True

    async def _report_end(
        self, *, complete: bool, stopped: bool = False
    ) -> None:
        run_seconds = anyio.current_time() - self._started_at
        await self._attempt.report_end(
            complete=complete,
            cost=self._meter.cost(run_seconds),
            stopped=stopped,
        )
