"""Routing of HTTP requests to handlers; errors become error responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.asgi import ClientDisconnectedError, HttpExchange
from sardinetrack.side.responses import send_error

Handler = Callable[[HttpExchange], Awaitable[None]]


class Routes:
    """Dispatches requests by method and path."""

    def __init__(self, handlers: Mapping[tuple[str, str], Handler]) -> None:
        """Create the routing table.

        :param handlers: handlers by method and path; a path that ends in a
            slash is a prefix.
        """
        self._handlers = dict(handlers)
        self._paths = {path for _, path in handlers}

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one request; an error gets the response of its kind."""
        try:
            await self._find_handler(exchange)(exchange)
        except RequestError as error:
            await send_error(exchange, error)
        except ClientDisconnectedError:
            return

    def _find_handler(self, exchange: HttpExchange) -> Handler:
        path = exchange.path
        if path not in self._paths:
            path = path[: path.rfind('/') + 1]
        handler = self._handlers.get((exchange.method, path))
        if handler is not None:
            return handler
        if path in self._paths:
            raise RequestError(ErrorKind.METHOD_NOT_ALLOWED)
        raise RequestError(ErrorKind.UNKNOWN_PATH)
