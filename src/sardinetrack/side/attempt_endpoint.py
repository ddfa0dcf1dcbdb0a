"""``POST /peer/v1/attempts/ID``: tell the fate of an attempt."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import Final

import msgspec

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.asgi import Exchange
from sardinetrack.messages.run import ATTEMPT_PATH, AttemptQuery
from sardinetrack.side.events import Asked, SideEvents
from sardinetrack.side.questions import ask_owner

_MAX_QUERY_BYTES: Final = 4096
_QUERY_SECONDS: Final = 5.0


class AttemptEndpoint:
    """Passes questions to the owner task."""

    def __init__(self, owner: SideEvents) -> None:
        """Remember the owner's stream."""
        self._owner = owner

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one question."""
        query = await _read_query(exchange)
        answer = await ask_owner(self._owner, partial(Asked, query))
        await exchange.answer_json(HTTPStatus.OK, answer)


async def _read_query(exchange: Exchange) -> AttemptQuery:
    body = await exchange.body(_MAX_QUERY_BYTES, _QUERY_SECONDS)
    try:
        query = msgspec.json.decode(body, type=AttemptQuery)
    except msgspec.DecodeError as error:
        raise AnsweredError(ErrorKind.BAD_REQUEST, str(error)) from error
    if query.attempt_id != exchange.path.removeprefix(ATTEMPT_PATH):
        raise AnsweredError(ErrorKind.BAD_REQUEST, 'two attempt ids')
    return query
