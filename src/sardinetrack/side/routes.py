"""Find the handler of a request; answer failures by the closed table."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.asgi import CallerGoneError, Exchange
from sardinetrack.side.answers import answer_error

Handler = Callable[[Exchange], Awaitable[None]]


class Routes:
    """Finds the handler of a method and path."""

    def __init__(self, handlers: Mapping[tuple[str, str], Handler]) -> None:
        """Remember the table; a path that ends in a slash is a prefix."""
        self._handlers = dict(handlers)
        self._paths = {path for _, path in handlers}

    async def answer(self, exchange: Exchange) -> None:
        """Answer one request; failures get their row of the table."""
        try:
            await self._handler(exchange)(exchange)
        except AnsweredError as error:
            await answer_error(exchange, error)
        except CallerGoneError:
            return

    def _handler(self, exchange: Exchange) -> Handler:
        path = exchange.path
        if path not in self._paths:
            path = path[: path.rfind('/') + 1]
        handler = self._handlers.get((exchange.method, path))
        if handler is not None:
            return handler
        if path in self._paths:
            raise AnsweredError(ErrorKind.METHOD_NOT_ALLOWED)
        raise AnsweredError(ErrorKind.UNKNOWN_PATH)
