"""ASGI applications of an entry: for callers, peers and operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

from sardinetrack.entry.operator import respond_failure
from sardinetrack.entry.status import EntryStatus
from sardinetrack.errors.api import ErrorKind
from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.links.api import LINK_PATH, STATUS_PATH
from sardinetrack.links.secret import AUTHORIZATION_HEADER, PeerSecret
from sardinetrack.links.server import LinkAcceptor

_TYPE: Final = 'type'
_HTTP: Final = 'http'


class HttpApplication:
    """Handles HTTP requests and rejects WebSockets."""

    def __init__(
        self, handle: Callable[[HttpExchange], Awaitable[None]]
    ) -> None:
        """Set the handler.

        :param handle: responds to a request.
        """
        self._handle = handle

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        if scope[_TYPE] == _HTTP:
            await self._handle(HttpExchange(scope, receive, send))
        else:
            await send({_TYPE: 'websocket.close'})


class PeerApplication:
    """The endpoint for peers; requests without the peer secret are rejected."""

    def __init__(
        self,
        secret: PeerSecret,
        acceptor: LinkAcceptor,
        status: Callable[[], EntryStatus],
    ) -> None:
        self._secret = secret
        self._acceptor = acceptor
        self._status = status

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request or accept one link."""
        if scope[_TYPE] == _HTTP:
            await self._answer(HttpExchange(scope, receive, send))
        elif scope['path'] == LINK_PATH:
            await self._acceptor(scope, receive, send)
        else:
            await send({_TYPE: 'websocket.close'})

    async def _answer(self, exchange: HttpExchange) -> None:
        if not self._secret.matches(exchange.header(AUTHORIZATION_HEADER)):
            await respond_failure(exchange, ErrorKind.PEER_REFUSED)
        elif exchange.path != STATUS_PATH:
            await respond_failure(exchange, ErrorKind.UNKNOWN_PATH)
        elif exchange.method != 'GET':
            await respond_failure(exchange, ErrorKind.METHOD_NOT_ALLOWED)
        else:
            await exchange.respond_json(HTTPStatus.OK, self._status())
