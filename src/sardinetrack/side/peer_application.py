"""The ASGI application for peers of a side."""

from __future__ import annotations

from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.links.api import LINK_PATH, STATUS_PATH
from sardinetrack.links.secret import AUTHORIZATION_HEADER, PeerSecret
from sardinetrack.links.server import LinkAcceptor
from sardinetrack.messages.run import ATTEMPT_PATH, RUN_PATH
from sardinetrack.side.attempt_endpoint import AttemptEndpoint
from sardinetrack.side.events import SideEvents
from sardinetrack.side.responses import send_error
from sardinetrack.side.routes import Routes
from sardinetrack.side.run_endpoint import RunEndpoint
from sardinetrack.side.status import StatusSource

_TYPE: Final = 'type'
_POST: Final = 'POST'


class PeerApplication:
    """All endpoints for peers; each call must present the peer secret."""

    def __init__(
        self,
        secret: PeerSecret,
        acceptor: LinkAcceptor,
        owner: SideEvents,
        run: RunEndpoint,
    ) -> None:
        """Build the routing table.

        :param secret: the secret that all peers share.
        :param acceptor: accepts links.
        :param owner: stream of events to the owner task.
        :param run: handles run requests.
        """
        self._secret = secret
        self._acceptor = acceptor
        self._routes = Routes(
            {
                (_POST, RUN_PATH): run,
                (_POST, ATTEMPT_PATH): AttemptEndpoint(owner),
                ('GET', STATUS_PATH): StatusSource(owner),
            },
        )

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request or accept one link."""
        if scope[_TYPE] == 'http':
            await self._handle(HttpExchange(scope, receive, send))
        elif scope['path'] == LINK_PATH:
            await self._acceptor(scope, receive, send)
        else:
            await send({_TYPE: 'websocket.close'})

    async def _handle(self, exchange: HttpExchange) -> None:
        if self._secret.matches(exchange.header(AUTHORIZATION_HEADER)):
            await self._routes.handle(exchange)
        else:
            error = RequestError(ErrorKind.PEER_REFUSED)
            await send_error(exchange, error)
