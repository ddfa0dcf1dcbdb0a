"""``POST /peer/v1/attempts/ID``: return the status of an attempt."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.asgi import HttpExchange
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.messages.run import ATTEMPT_PATH, AttemptStatusRequest
from sardinetrack.side.events import AttemptQueried, SideEvents
from sardinetrack.side.owner_queries import query_owner

_MAX_QUERY_BYTES: Final = 4096
_QUERY_SECONDS: Final = 5.0
_QUERIES: Final = JsonDecoder[AttemptStatusRequest](AttemptStatusRequest)


class AttemptEndpoint:
    """Passes status queries to the owner task."""

    def __init__(self, owner: SideEvents) -> None:
        self._owner = owner

    async def __call__(self, exchange: HttpExchange) -> None:
        """Respond to one status query."""
        query = await _read_query(exchange)
        response = await query_owner(
            self._owner, partial(AttemptQueried, query)
        )
        await exchange.respond_json(HTTPStatus.OK, response)


async def _read_query(exchange: HttpExchange) -> AttemptStatusRequest:
    body = await exchange.body(_MAX_QUERY_BYTES, _QUERY_SECONDS)
    try:
        query = _QUERIES.decode(body)
    except UnreadableError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from error
    if query.attempt_id != exchange.path.removeprefix(ATTEMPT_PATH):
        raise RequestError(ErrorKind.BAD_REQUEST, 'two attempt ids')
    return query
