"""The operators' listener: health, readiness, metrics, status, settings."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from prometheus_client import CONTENT_TYPE_LATEST

from sardinetrack.entry.error_responses import error_document, error_headers
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.status import EntryStatus
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.errors.table import error_response_for
from sardinetrack.http.asgi import HttpExchange

Page = Callable[[HttpExchange], Awaitable[None]]

_TEXT: Final = (('content-type', 'text/plain; charset=utf-8'),)


class OperatorPages:
    """Handles the requests of operators."""

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        metrics: EntryMetrics,
        settings: object,
    ) -> None:
        """Build the table of pages.

        :param status: returns the current status.
        :param metrics: the metrics to expose.
        :param settings: effective settings as JSON content, secrets masked.
        """
        self._status = status
        self._metrics = metrics
        self._settings = settings
        self._pages: MappingProxyType[str, Page] = MappingProxyType(
            {
                '/healthz': self._health,
                '/readyz': self._readiness,
                '/metrics': self._exposition,
                '/status': self._show_status,
                '/config': self._show_settings,
            },
        )

    async def handle(self, exchange: HttpExchange) -> None:
        """Respond to one request."""
        page = self._pages.get(exchange.path)
        if page is None:
            await respond_failure(exchange, ErrorKind.UNKNOWN_PATH)
        elif exchange.method == 'GET':
            await page(exchange)
        else:
            await respond_failure(exchange, ErrorKind.METHOD_NOT_ALLOWED)

    async def _health(self, exchange: HttpExchange) -> None:
        await exchange.respond(HTTPStatus.OK, b'ok\n', _TEXT)

    async def _readiness(self, exchange: HttpExchange) -> None:
        reasons = self._status().not_ready
        if reasons:
            text = '; '.join(reasons).encode()
            await exchange.respond(
                HTTPStatus.SERVICE_UNAVAILABLE,
                b'not ready: %b\n' % text,
                _TEXT,
            )
        else:
            await exchange.respond(HTTPStatus.OK, b'ready\n', _TEXT)

    async def _exposition(self, exchange: HttpExchange) -> None:
        await exchange.respond(
            HTTPStatus.OK,
            self._metrics.exposition(),
            [('content-type', CONTENT_TYPE_LATEST)],
        )

    async def _show_status(self, exchange: HttpExchange) -> None:
        await exchange.respond_json(HTTPStatus.OK, self._status())

    async def _show_settings(self, exchange: HttpExchange) -> None:
        await exchange.respond_json(HTTPStatus.OK, self._settings)


async def respond_failure(exchange: HttpExchange, kind: ErrorKind) -> None:
    """Send the error response of a kind of failure.

    :param exchange: the request to respond to.
    :param kind: selects the response.
    """
    failure = RequestError(kind)
    await exchange.respond_json(
        error_response_for(kind).status,
        error_document(failure),
        error_headers(failure),
    )
