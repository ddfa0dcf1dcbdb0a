"""Handle one run request from its submission to its response."""

from __future__ import annotations

import anyio

from sardinetrack.http.asgi import HttpExchange
from sardinetrack.messages.run import AttemptStatus, RunResult
from sardinetrack.side.attempt import SideAttempt
from sardinetrack.side.backend_run import BackendRun
from sardinetrack.side.events import Refused, Started
from sardinetrack.side.responses import send_result


class ResponseTruncatedError(Exception):
    """The response ended early; raised so that the connection breaks too."""


class RunTask:
    """Waits for the decision, runs the request and watches the entry."""

    def __init__(
        self,
        exchange: HttpExchange,
        attempt: SideAttempt,
        max_run_seconds: float,
    ) -> None:
        """Create the task of a submitted run request.

        :param exchange: the entry's HTTP exchange.
        :param attempt: the submitted attempt.
        :param max_run_seconds: the request is cancelled when it runs longer.
        """
        self._exchange = exchange
        self._attempt = attempt
        self._max_run_seconds = max_run_seconds
        self._response_sent = False
        self._entry_disconnected = False

    async def run(self, backend_run: BackendRun, body: bytes) -> None:
        """Run the request and respond to the entry.

        :raises ResponseTruncatedError: the response could not be completed.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_entry, tasks.cancel_scope)
            decision = await self._attempt.decision()
            if isinstance(decision, Refused):
                await send_result(self._exchange, decision.run_result)
                self._response_sent = True
            else:
                tasks.start_soon(self._watch_stop, tasks.cancel_scope)
                await self._run_backend(backend_run, body, decision)
            tasks.cancel_scope.cancel()
        if not self._response_sent:
            await self._abort_response()

    async def _run_backend(
        self,
        backend_run: BackendRun,
        body: bytes,
        started: Started,
    ) -> None:
        with anyio.move_on_after(self._max_run_seconds):
            self._response_sent = await backend_run.run(body, started)

    async def _watch_entry(self, scope: anyio.CancelScope) -> None:
        await self._exchange.wait_for_disconnect()
        self._entry_disconnected = True
        scope.cancel()

    async def _watch_stop(self, scope: anyio.CancelScope) -> None:
        await self._attempt.wait_stopped()
        scope.cancel()

    async def _abort_response(self) -> None:
        if self._entry_disconnected:
            return
        if self._exchange.started:
            raise ResponseTruncatedError(self._attempt.run_request.attempt_id)
        incarnation = self._attempt.run_request.incarnation
        await send_result(
            self._exchange,
            RunResult(AttemptStatus.STOPPED, incarnation, reason='stopped'),
        )
