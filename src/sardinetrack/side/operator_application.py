"""The ASGI application for operators of a side."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final

from sardinetrack.http.asgi import HttpExchange, Receive, Scope, Send
from sardinetrack.side.events import SideEvents
from sardinetrack.side.metrics import SideMetrics
from sardinetrack.side.routes import Routes
from sardinetrack.side.status import StatusSource

_TYPE: Final = 'type'
_GET: Final = 'GET'


class OperatorApplication:
    """Health, metrics, status and settings for operators."""

    def __init__(
        self,
        owner: SideEvents,
        metrics: SideMetrics,
        settings: Any,
    ) -> None:
        """Build the routing table.

        :param owner: stream of events to the owner task.
        :param metrics: the side's metrics.
        :param settings: effective settings as JSON content, secrets masked.
        """
        self._status = StatusSource(owner)
        self._metrics = metrics
        self._settings = settings
        self._routes = Routes(
            {
                (_GET, '/healthz'): _healthy,
                (_GET, '/readyz'): self._ready,
                (_GET, '/metrics'): self._show_metrics,
                (_GET, '/status'): self._status,
                (_GET, '/config'): self._show_settings,
            },
        )

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        if scope[_TYPE] == 'http':
            await self._routes.handle(HttpExchange(scope, receive, send))
        else:
            await send({_TYPE: 'websocket.close'})

    async def _ready(self, exchange: HttpExchange) -> None:
        ready = (await self._status.read()).ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await exchange.respond(status, b'ready\n' if ready else b'not ready\n')

    async def _show_metrics(self, exchange: HttpExchange) -> None:
        content_type = ('content-type', 'text/plain; version=0.0.4')
        text = self._metrics.text()
        await exchange.respond(HTTPStatus.OK, text, [content_type])

    async def _show_settings(self, exchange: HttpExchange) -> None:
        await exchange.respond_json(HTTPStatus.OK, self._settings)


async def _healthy(exchange: HttpExchange) -> None:
    await exchange.respond(HTTPStatus.OK, b'ok\n')
