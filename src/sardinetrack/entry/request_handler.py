"""The callers' HTTP interface: each failure gets a defined error response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from itertools import count
from typing import Final

from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.entry.authentication import authenticate
from sardinetrack.entry.bodies import BodyBudget
from sardinetrack.entry.drain_gate import DrainGate
from sardinetrack.entry.error_responses import (
    REQUEST_ID_HEADER,
    error_document,
    error_headers,
)
from sardinetrack.entry.headers import caller_request_id
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.models import models_response
from sardinetrack.entry.reader import (
    COMPLETIONS_PATH,
    CallReader,
    RequestOrigin,
)
from sardinetrack.entry.runner import CallRunner
from sardinetrack.entry.services import SERVICES_PATH
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.errors.table import error_response_for
from sardinetrack.http.asgi import ClientDisconnectedError, HttpExchange
from sardinetrack.logs.lines import ComponentLogger, LogComponent

_LOG: Final = ComponentLogger(LogComponent.ENTRY)
_MODELS_PATH: Final = '/v1/models'
_DIGITS: Final = 3

Handler = Callable[[HttpExchange, RequestOrigin], Awaitable[None]]


class CallerRequestHandler:
    """Handles the requests of callers."""

    def __init__(
        self,
        catalogue: CatalogueView,
        reader: CallReader,
        runner: CallRunner,
        gate: DrainGate,
        metrics: EntryMetrics,
    ) -> None:
        self._catalogue = catalogue
        self._reader = reader
        self._runner = runner
        self._gate = gate
        self._metrics = metrics
        self._bodies = BodyBudget()
        self._request_numbers = count(1)

    async def handle(self, exchange: HttpExchange) -> None:
        """Respond to one request."""
        external_request_id = caller_request_id(
            exchange.header(REQUEST_ID_HEADER)
        )
        exchange.closes_connection = self._is_draining
        try:
            await self._serve(exchange, external_request_id)
        except RequestError as failure:
            await self._respond_error(exchange, external_request_id, failure)
        except ClientDisconnectedError:
            self._metrics.count_disconnect()
            _LOG.info('caller disconnected', request_id=external_request_id)
        except Exception:
            _LOG.exception(
                'unhandled exception in a request',
                request_id=external_request_id,
            )
            internal_error = RequestError(ErrorKind.INTERNAL)
            await self._respond_error(
                exchange, external_request_id, internal_error
            )

    async def _serve(
        self, exchange: HttpExchange, external_request_id: str
    ) -> None:
        handler = self._handler(exchange)
        with self._gate.admitted():
            workspace = authenticate(exchange, self._catalogue)
            # Callers choose their ids freely and may use one id twice.
            request_id = f'{external_request_id}~{next(self._request_numbers)}'
            with self._bodies.account(workspace.name) as account:
                origin = RequestOrigin(
                    workspace, external_request_id, request_id, account
                )
                await handler(exchange, origin)

    def _is_draining(self) -> bool:
        """Return whether the response should close its connection.

        During a drain callers should connect to another instance. A connection
        that stayed open until the process ends could be closed while its next
        request is in flight.
        """
        return self._gate.draining

    def _handler(self, exchange: HttpExchange) -> Handler:
        path = exchange.path
        if exchange.target.startswith(SERVICES_PATH):
            return self._service
        if path == COMPLETIONS_PATH:
            _require_method(exchange, 'POST')
            return self._completion
        if path == _MODELS_PATH or path.startswith(f'{_MODELS_PATH}/'):
            _require_method(exchange, 'GET')
            return self._models
        raise RequestError(ErrorKind.UNKNOWN_PATH)

    async def _service(
        self, exchange: HttpExchange, origin: RequestOrigin
    ) -> None:
        call = await self._reader.service(exchange, origin)
        await self._runner.run(call, exchange)

    async def _completion(
        self, exchange: HttpExchange, origin: RequestOrigin
    ) -> None:
        call = await self._reader.completion(exchange, origin)
        await self._runner.run(call, exchange)

    async def _models(
        self, exchange: HttpExchange, origin: RequestOrigin
    ) -> None:
        name = exchange.path[len(_MODELS_PATH) :].lstrip('/')
        content = models_response(self._catalogue.pools(), name)
        await exchange.respond_json(
            HTTPStatus.OK,
            content,
            [(REQUEST_ID_HEADER, origin.external_request_id)],
        )

    async def _respond_error(
        self,
        exchange: HttpExchange,
        external_request_id: str,
        failure: RequestError,
    ) -> None:
        self._metrics.count_error(failure.kind)
        unauthenticated = failure.kind is ErrorKind.UNAUTHENTICATED
        write = _LOG.debug if unauthenticated else _LOG.info
        write(
            'error response',
            request_id=external_request_id,
            error=failure.kind.value,
            not_run=error_response_for(failure.kind).not_run,
            answer_begun=exchange.started,
            drain=self._gate.state.value,
            in_state_seconds=round(self._gate.state_seconds(), _DIGITS),
        )
        if exchange.started:
            return
        headers = [
            (REQUEST_ID_HEADER, external_request_id),
            *error_headers(failure),
        ]
        await exchange.respond_json(
            error_response_for(failure.kind).status,
            error_document(failure),
            headers,
        )


def _require_method(exchange: HttpExchange, method: str) -> None:
    if exchange.method != method:
        raise RequestError(
            ErrorKind.METHOD_NOT_ALLOWED,
            f'use {method}',
        )
