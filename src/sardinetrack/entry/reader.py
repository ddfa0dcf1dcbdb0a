"""From a caller's HTTP request to a call that can be routed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from sardinetrack.catalogue.api import Pool, Workspace
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.config.model import Bounds
from sardinetrack.entry.bodies import BodyAccount
from sardinetrack.entry.call import Call
from sardinetrack.entry.completions import (
    ChatCompletion,
    essence,
    fingerprint,
    parse_completion,
)
from sardinetrack.entry.cost import CostKey, LearnedCosts
from sardinetrack.entry.headers import forwarded_request
from sardinetrack.entry.services import ServiceTarget, is_repeatable
from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.asgi import Exchange
from sardinetrack.routing.api import Work

COMPLETIONS_PATH: Final = '/v1/chat/completions'
KEY_HEADER: Final = 'idempotency-key'
_LONGEST_KEY: Final = 255


@dataclass(frozen=True, slots=True)
class Origin:
    """Who sent a request, and under which ids."""

    workspace: Workspace
    caller_id: str
    request_id: str
    """Unique at this entry."""
    account: BodyAccount
    """Counts the bytes of the body."""


@dataclass(frozen=True, slots=True)
class _Target:
    """What is to run where."""

    pool: Pool
    path: str
    body: bytes
    key: str | None
    repeatable: bool
    completion: ChatCompletion | None = None


class CallReader:
    """Reads bodies within bounds and makes calls of them."""

    def __init__(
        self,
        catalogue: CatalogueView,
        costs: LearnedCosts,
        bounds: Bounds,
        clock: Callable[[], float],
    ) -> None:
        """Remember the parts."""
        self._catalogue = catalogue
        self._costs = costs
        self._bounds = bounds
        self._clock = clock

    async def completion(self, exchange: Exchange, origin: Origin) -> Call:
        """Read a chat completion.

        :raises AnsweredError: it is refused.
        """
        key = _idempotency_key(exchange)
        body = await self._body(
            exchange,
            origin.account,
            self._bounds.max_body_bytes,
        )
        asked = parse_completion(body)
        pool = self._catalogue.pool_by_model(asked.model)
        if pool is None:
            raise AnsweredError(ErrorKind.UNKNOWN_MODEL)
        if len(body) > pool.max_body_bytes:
            raise AnsweredError(ErrorKind.BODY_TOO_LARGE)
        target = _Target(
            pool,
            COMPLETIONS_PATH,
            body,
            key,
            repeatable=True,
            completion=asked,
        )
        return self._call(exchange, origin, target)

    async def service(self, exchange: Exchange, origin: Origin) -> Call:
        """Read a call of a plain service.

        :raises AnsweredError: it is refused.
        """
        key = _idempotency_key(exchange)
        service = ServiceTarget.parse(exchange.target)
        pool = self._catalogue.pool_by_service(service.name)
        if pool is None:
            raise AnsweredError(ErrorKind.UNKNOWN_SERVICE)
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
        exchange: Exchange,
        account: BodyAccount,
        max_bytes: int,
    ) -> bytes:
        told_bytes = _told_bytes(exchange)
        if told_bytes is not None and told_bytes > max_bytes:
            raise AnsweredError(ErrorKind.BODY_TOO_LARGE)
        account.hold(max_bytes if told_bytes is None else told_bytes)
        body = await exchange.body(max_bytes, self._bounds.body_seconds)
        account.hold(len(body))
        return body

    def _call(
        self,
        exchange: Exchange,
        origin: Origin,
        target: _Target,
    ) -> Call:
        headers = forwarded_request(exchange.headers(), origin.caller_id)
        return Call(
            caller_id=origin.caller_id,
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

    def _work(self, method: str, origin: Origin, target: _Target) -> Work:
        asked = target.completion
        key = CostKey(origin.workspace.name, target.pool.name)
        expected = self._costs.expected(key, target.pool.pool_class)
        if asked is not None and asked.most_tokens is not None:
            expected = asked.most_tokens
        return Work(
            request_id=origin.request_id,
            workspace=origin.workspace.name,
            pool=target.pool.name,
            hint_cost=_prompt_cost(target) + expected,
            deadline_seconds=self._clock() + self._bounds.wait_seconds,
            # A key asks for "at most once": then nothing is repeated.
            idempotent=target.repeatable and target.key is None,
            fingerprint=fingerprint(
                target.pool.name.encode(),
                method.encode(),
                target.path.encode(),
                essence(target.body) if asked else target.body,
            ),
            affinity=asked.affinity if asked else 0,
        )


def _told_bytes(exchange: Exchange) -> int | None:
    """Return the body's size, ``None`` when it comes in chunks."""
    if exchange.header('transfer-encoding') is not None:
        return None
    return int(exchange.header('content-length') or 0)


def _prompt_cost(target: _Target) -> float:
    if target.completion is None:
        return 0
    return target.completion.prompt_tokens * target.pool.prompt_token_cost


def _idempotency_key(exchange: Exchange) -> str | None:
    key = exchange.header(KEY_HEADER)
    if key is None:
        return None
    if not key or len(key) > _LONGEST_KEY:
        raise AnsweredError(
            ErrorKind.BAD_REQUEST,
            f'the idempotency key must have 1 to {_LONGEST_KEY} characters',
        )
    return key
