"""``POST /peer/v1/run``: receive a run request."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from sardinetrack.catalogue.api import Pool
from sardinetrack.errors.api import RequestError
from sardinetrack.errors.table import error_response_for
from sardinetrack.http.asgi import HttpExchange
from sardinetrack.messages.json_input import UnreadableError
from sardinetrack.messages.run import (
    RUN_HEADER,
    AttemptStatus,
    RunRequest,
    RunResult,
)
from sardinetrack.messages.run_codec import decode_run_request
from sardinetrack.side.attempt import SideAttempt
from sardinetrack.side.backend_run import BackendRun
from sardinetrack.side.refusals import DaemonRefusal
from sardinetrack.side.responses import send_result
from sardinetrack.side.run_dependencies import RunDependencies
from sardinetrack.side.run_task import RunTask

_BODY_SECONDS: Final = 30.0


class RunEndpoint:
    """Reads a run request and its complete body, then requests a decision.

    The body is read first: a slot that waits for the bytes of a slow entry
    would be idle.
    """

    def __init__(self, dependencies: RunDependencies) -> None:
        self._dependencies = dependencies

    async def __call__(self, exchange: HttpExchange) -> None:
        """Handle one run request."""
        try:
            run_request = _read_run_request(exchange)
        except UnreadableError:
            reason = DaemonRefusal.BAD_ORDER
            await self._refuse(exchange, None, reason, HTTPStatus.BAD_REQUEST)
            return
        pool = self._dependencies.configuration.pool()
        if pool is None:
            reason = DaemonRefusal.NO_CONFIGURATION
            await self._refuse(exchange, run_request, reason)
        elif run_request.incarnation == self._dependencies.identity.incarnation:
            await self._admit(exchange, run_request, pool)
        else:
            # The request is meant for a process that this one has replaced.
            reason = DaemonRefusal.OTHER_INCARNATION
            await self._refuse(exchange, run_request, reason)

    async def _admit(
        self,
        exchange: HttpExchange,
        run_request: RunRequest,
        pool: Pool,
    ) -> None:
        try:
            body = await exchange.body(pool.max_body_bytes, _BODY_SECONDS)
        except RequestError as error:
            status = error_response_for(error.kind).status
            await self._refuse(exchange, run_request, error.kind, status)
            return
        async with SideAttempt(
            run_request, self._dependencies.owner
        ) as attempt:
            backend_run = BackendRun(
                attempt, exchange, pool, self._dependencies
            )
            task = RunTask(exchange, attempt, pool.max_run_seconds)
            await task.run(backend_run, body)

    async def _refuse(
        self,
        exchange: HttpExchange,
        run_request: RunRequest | None,
        reason: str,
        status: HTTPStatus = HTTPStatus.CONFLICT,
    ) -> None:
        # The admission object has not seen the request, so this is final: the
        # entry sends it only once, on this connection.
        run_result = RunResult(
            AttemptStatus.NOT_STARTED,
            self._dependencies.identity.incarnation,
            reason=reason,
        )
        self._dependencies.record_refusal(run_request, reason)
        await send_result(exchange, run_result, status)


def _read_run_request(exchange: HttpExchange) -> RunRequest:
    run_request = decode_run_request(exchange.header(RUN_HEADER) or '')
    if not run_request.path.startswith('/'):
        raise UnreadableError('the path must start with a slash')
    return run_request
