"""The callers' border: every request ends in an answer of the closed table."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from itertools import count
from typing import Final

from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.entry.answers import (
    REQUEST_ID_HEADER,
    error_document,
    error_headers,
)
from sardinetrack.entry.bodies import BodyBudget
from sardinetrack.entry.gate import Gate
from sardinetrack.entry.headers import caller_request_id
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.models import model_answer
from sardinetrack.entry.reader import COMPLETIONS_PATH, CallReader, Origin
from sardinetrack.entry.runner import CallRunner
from sardinetrack.entry.services import SERVICES_PATH
from sardinetrack.entry.tokens import authenticated
from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.errors.table import answer_for
from sardinetrack.http.asgi import CallerGoneError, Exchange
from sardinetrack.logs.lines import Part, PartLogger

_LOG: Final = PartLogger(Part.ENTRY)
_MODELS_PATH: Final = '/v1/models'
_DIGITS: Final = 3

Handler = Callable[[Exchange, Origin], Awaitable[None]]


class CallerBorder:
    """Answers callers."""

    def __init__(
        self,
        catalogue: CatalogueView,
        reader: CallReader,
        runner: CallRunner,
        gate: Gate,
        metrics: EntryMetrics,
    ) -> None:
        """Remember the parts."""
        self._catalogue = catalogue
        self._reader = reader
        self._runner = runner
        self._gate = gate
        self._metrics = metrics
        self._bodies = BodyBudget()
        self._numbers = count(1)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        caller_id = caller_request_id(exchange.header(REQUEST_ID_HEADER))
        exchange.is_last = self._leaves
        try:
            await self._serve(exchange, caller_id)
        except AnsweredError as failure:
            await self._fail(exchange, caller_id, failure)
        except CallerGoneError:
            self._metrics.vanished()
            _LOG.info('caller vanished', request_id=caller_id)
        except Exception:
            _LOG.exception('fault in a request', request_id=caller_id)
            fault = AnsweredError(ErrorKind.INTERNAL)
            await self._fail(exchange, caller_id, fault)

    async def _serve(self, exchange: Exchange, caller_id: str) -> None:
        handler = self._handler(exchange)
        with self._gate.passed():
            workspace = authenticated(exchange, self._catalogue)
            # Callers choose their ids freely and may use one twice.
            request_id = f'{caller_id}~{next(self._numbers)}'
            with self._bodies.account(workspace.name) as account:
                origin = Origin(workspace, caller_id, request_id, account)
                await handler(exchange, origin)

    def _leaves(self) -> bool:
        """Whether callers should come back to another instance.

        A connection that was kept until the process ends would close as the
        next request is on its way.
        """
        return self._gate.draining

    def _handler(self, exchange: Exchange) -> Handler:
        path = exchange.path
        if exchange.target.startswith(SERVICES_PATH):
            return self._service
        if path == COMPLETIONS_PATH:
            _require(exchange, 'POST')
            return self._completion
        if path == _MODELS_PATH or path.startswith(f'{_MODELS_PATH}/'):
            _require(exchange, 'GET')
            return self._models
        raise AnsweredError(ErrorKind.UNKNOWN_PATH)

    async def _service(self, exchange: Exchange, origin: Origin) -> None:
        call = await self._reader.service(exchange, origin)
        await self._runner.run(call, exchange)

    async def _completion(self, exchange: Exchange, origin: Origin) -> None:
        call = await self._reader.completion(exchange, origin)
        await self._runner.run(call, exchange)

    async def _models(self, exchange: Exchange, origin: Origin) -> None:
        name = exchange.path[len(_MODELS_PATH) :].lstrip('/')
        content = model_answer(self._catalogue.pools(), name)
        await exchange.answer_json(
            HTTPStatus.OK,
            content,
            [(REQUEST_ID_HEADER, origin.caller_id)],
        )

    async def _fail(
        self,
        exchange: Exchange,
        caller_id: str,
        failure: AnsweredError,
    ) -> None:
        self._metrics.failed(failure.kind)
        stranger = failure.kind is ErrorKind.UNAUTHENTICATED
        write = _LOG.debug if stranger else _LOG.info
        write(
            'error answer',
            request_id=caller_id,
            error=failure.kind.value,
            not_run=answer_for(failure.kind).not_run,
            answer_begun=exchange.started,
            drain=self._gate.state.value,
            in_state_seconds=round(self._gate.state_seconds(), _DIGITS),
        )
        if exchange.started:
            return
        headers = [(REQUEST_ID_HEADER, caller_id), *error_headers(failure)]
        await exchange.answer_json(
            answer_for(failure.kind).status,
            error_document(failure),
            headers,
        )


def _require(exchange: Exchange, method: str) -> None:
    if exchange.method != method:
        raise AnsweredError(
            ErrorKind.METHOD_NOT_ALLOWED,
            f'use {method}',
        )
