"""Parses and checks callers' HTTP requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.config.model import RequestLimits
from sardinetrack.entry.bodies import BodyAccount
from sardinetrack.entry.call import Call
from sardinetrack.entry.completions import (
    ChatCompletion,
    canonical_request,
    fingerprint,
    parse_completion,
)
from sardinetrack.entry.cost import CostEstimates, CostKey
from sardinetrack.entry.headers import request_headers_to_forward
from sardinetrack.entry.services import ServiceTarget, is_repeatable
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.asgi import HttpExchange
from sardinetrack.routing.api import RoutedRequest

COMPLETIONS_PATH: Final = '/v1/chat/completions'
KEY_HEADER: Final = 'idempotency-key'
_LAST_EVENT_HEADER: Final = 'last-event-id'
_MAX_KEY_LENGTH: Final = 255


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """The authenticated sender of a request, and the ids of the request."""

    workspace: Workspace
    external_request_id: str
    request_id: str
    """Unique at this entry."""
    account: BodyAccount
    """Reserves the bytes of the body."""


@dataclass(frozen=True, slots=True)
class _Target:
    """The parsed request and the pool that serves it."""

    pool: Pool
    path: str
    body: bytes
    key: str | None
    repeatable: bool
    completion: ChatCompletion | None = None


class CallReader:
    """Reads request bodies within limits and builds calls."""

    def __init__(
        self,
        catalogue: CatalogueView,
        costs: CostEstimates,
        bounds: RequestLimits,
        clock: Callable[[], float],
    ) -> None:
        self._catalogue = catalogue
        self._costs = costs
        self._bounds = bounds
        self._clock = clock

    async def completion(
        self, exchange: HttpExchange, origin: RequestOrigin
    ) -> Call:
        """Read a chat completion request.

        :raises RequestError: the request is invalid or exceeds a limit.
        """
        _check_begins(exchange)
        key = _idempotency_key(exchange)
        body = await self._body(
            exchange,
            origin.account,
            self._bounds.max_body_bytes,
        )
        chat_request = parse_completion(body)
        pool = self._catalogue.pool_by_model(chat_request.model)
        if pool is None:
            raise RequestError(ErrorKind.UNKNOWN_MODEL)
        if len(body) > pool.max_body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        target = _Target(
            pool,
            COMPLETIONS_PATH,
            body,
            key,
            repeatable=True,
            completion=chat_request,
        )
        return self._call(exchange, origin, target)

    async def service(
        self, exchange: HttpExchange, origin: RequestOrigin
    ) -> Call:
        """Read a request to a plain service.

        :raises RequestError: the request is invalid or exceeds a limit.
        """
        key = _idempotency_key(exchange)
        service = ServiceTarget.parse(exchange.target)
        pool = self._catalogue.pool_by_service(service.name)
        if pool is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE)
        body = await self._body(
            exchange,
            origin.account,
            min(self._bounds.max_body_bytes, pool.max_body_bytes),
        )
        repeatable = is_repeatable(
            pool.repeatable,
            exchange.method,
            service.path,
        )
        target = _Target(pool, service.path, body, key, repeatable)
        return self._call(exchange, origin, target)

    async def _body(
        self,
        exchange: HttpExchange,
        account: BodyAccount,
        max_bytes: int,
    ) -> bytes:
        declared_bytes = _declared_bytes(exchange)
        if declared_bytes is not None and declared_bytes > max_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        account.reserve(max_bytes if declared_bytes is None else declared_bytes)
        body = await exchange.body(max_bytes, self._bounds.body_seconds)
        account.reserve(len(body))
        return body

    def _call(
        self,
        exchange: HttpExchange,
        origin: RequestOrigin,
        target: _Target,
    ) -> Call:
        headers = request_headers_to_forward(
            exchange.headers(), origin.external_request_id
        )
        return Call(
            external_request_id=origin.external_request_id,
            work=self._work(exchange.method, origin, target),
            workspace=origin.workspace,
            pool=target.pool,
            method=exchange.method,
            path=target.path,
            headers=tuple(headers),
            body=target.body,
            streams=bool(target.completion and target.completion.stream),
            prompt_cost=_prompt_cost(target),
            idempotency_key=target.key,
        )

    def _work(
        self, method: str, origin: RequestOrigin, target: _Target
    ) -> RoutedRequest:
        chat_request = target.completion
        key = CostKey(origin.workspace.name, target.pool.name)
        expected = self._costs.estimate(key, target.pool.pool_class)
        if (
            chat_request is not None
            and chat_request.max_output_tokens is not None
        ):
            expected = chat_request.max_output_tokens
        return RoutedRequest(
            request_id=origin.request_id,
            workspace=origin.workspace.name,
            pool=target.pool.name,
            hint_cost=_prompt_cost(target) + expected,
            deadline_seconds=self._clock() + self._bounds.wait_seconds,
            # An idempotency key requests at most one run, so nothing is
            # retried.
            idempotent=target.repeatable and target.key is None,
            fingerprint=fingerprint(
                target.pool.name.encode(),
                method.encode(),
                target.path.encode(),
                canonical_request(target.body) if chat_request else target.body,
            ),
            affinity=chat_request.affinity if chat_request else 0,
        )


def _check_begins(exchange: HttpExchange) -> None:
    """Reject a request that continues a stream.

    Any engine of the pool would get it, also one whose software version does
    not continue what another version has begun.

    :raises RequestError: it names the last event that its caller has.
    """
    if exchange.header(_LAST_EVENT_HEADER) is not None:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f'{_LAST_EVENT_HEADER}: a completion can not be continued',
        )


def _declared_bytes(exchange: HttpExchange) -> int | None:
    """Return the body's declared size, ``None`` for a chunked body."""
    if exchange.header('transfer-encoding') is not None:
        return None
    return int(exchange.header('content-length') or 0)


def _prompt_cost(target: _Target) -> float:
    if target.completion is None:
        return 0
    return target.completion.prompt_tokens * target.pool.prompt_token_cost


def _idempotency_key(exchange: HttpExchange) -> str | None:
    key = exchange.header(KEY_HEADER)
    if key is None:
        return None
    if not key or len(key) > _MAX_KEY_LENGTH:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f'the idempotency key must have 1 to {_MAX_KEY_LENGTH} characters',
        )
    return key
