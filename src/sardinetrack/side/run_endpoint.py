"""``POST /peer/v1/run``: take in one order."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

import msgspec

from sardinetrack.catalogue.api import Pool
from sardinetrack.errors.api import AnsweredError
from sardinetrack.errors.table import answer_for
from sardinetrack.http.asgi import Exchange
from sardinetrack.messages.run import RUN_HEADER, Fate, RunOrder, RunResult
from sardinetrack.messages.run_codec import read_order
from sardinetrack.side.answers import answer_result
from sardinetrack.side.attempt import Attempt
from sardinetrack.side.handover import HandOver
from sardinetrack.side.refusals import DaemonRefusal
from sardinetrack.side.run_parts import RunParts
from sardinetrack.side.run_task import RunTask

_BODY_SECONDS: Final = 30.0


class RunEndpoint:
    """Reads an order and its whole body, then asks for a decision.

    The body comes first: a slot that waited for the bytes of a slow entry
    would idle.
    """

    def __init__(self, parts: RunParts) -> None:
        """Remember the parts."""
        self._parts = parts

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one order."""
        try:
            order = _read_order(exchange)
        except msgspec.DecodeError:
            reason = DaemonRefusal.BAD_ORDER
            await self._refuse(exchange, None, reason, HTTPStatus.BAD_REQUEST)
            return
        pool = self._parts.configuration.pool()
        if pool is None:
            reason = DaemonRefusal.NO_CONFIGURATION
            await self._refuse(exchange, order, reason)
        elif order.incarnation == self._parts.identity.incarnation:
            await self._take(exchange, order, pool)
        else:
            # The entry means a process that this one has replaced.
            reason = DaemonRefusal.OTHER_INCARNATION
            await self._refuse(exchange, order, reason)

    async def _take(
        self,
        exchange: Exchange,
        order: RunOrder,
        pool: Pool,
    ) -> None:
        try:
            body = await exchange.body(pool.max_body_bytes, _BODY_SECONDS)
        except AnsweredError as error:
            status = answer_for(error.kind).status
            await self._refuse(exchange, order, error.kind, status)
            return
        async with Attempt(order, self._parts.owner) as attempt:
            hand_over = HandOver(attempt, exchange, pool, self._parts)
            task = RunTask(exchange, attempt, pool.max_run_seconds)
            await task.run(hand_over, body)

    async def _refuse(
        self,
        exchange: Exchange,
        order: RunOrder | None,
        reason: str,
        status: HTTPStatus = HTTPStatus.CONFLICT,
    ) -> None:
        # The decision object has not seen the order, so this is final: the
        # entry sends it only once, on this connection.
        run_result = RunResult(
            Fate.NOT_STARTED,
            self._parts.identity.incarnation,
            reason=reason,
        )
        self._parts.note_refusal(order, reason)
        await answer_result(exchange, run_result, status)


def _read_order(exchange: Exchange) -> RunOrder:
    order = read_order(exchange.header(RUN_HEADER) or '')
    if not order.path.startswith('/'):
        raise msgspec.ValidationError('the path must start with a slash')
    return order
