"""What entry and side share as daemons: servers and shutdown."""

from __future__ import annotations

from abc import abstractmethod
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from types import TracebackType
from typing import Final, Self

import anyio

from sardinetrack.config.model import ListenAddress
from sardinetrack.http.asgi import Application
from sardinetrack.http.server import BoundServer, serve
from sardinetrack.process.api import Drainable

_CLOSE_SECONDS: Final = 2.0


class ServingDaemon(Drainable):
    """Serves while the context lasts; ``run`` returns after a drain."""

    def __init__(self) -> None:
        """Create the daemon; entering its context starts it."""
        self._stack = AsyncExitStack()
        self._closed = anyio.Event()
        self._servers: list[BoundServer] = []

    async def __aenter__(self) -> Self:
        """Start the tasks and the servers."""
        async with self._stack as stack:
            await self._open(stack)
            self._stack = stack.pop_all()
        self._log_serving()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop everything; requests that still run are interrupted."""
        return await self._stack.__aexit__(kind, error, trace)

    async def run(self) -> None:
        """Return when a drain has completed."""
        await self._closed.wait()

    @abstractmethod
    async def _open(self, stack: AsyncExitStack) -> None:
        """Start tasks and servers; the stack closes them."""

    @abstractmethod
    def _log_serving(self) -> None:
        """Log the addresses."""

    async def _serve(
        self,
        stack: AsyncExitStack,
        application: Application,
        listen: ListenAddress,
    ) -> BoundServer:
        server = serve(application, listen.ip, listen.port)
        return await self._start(stack, server)

    async def _start(
        self,
        stack: AsyncExitStack,
        starting: AbstractAsyncContextManager[BoundServer],
    ) -> BoundServer:
        server = await stack.enter_async_context(starting)
        self._servers.append(server)
        return server

    async def _close_servers(self) -> None:
        """Close the servers; afterwards ``run`` returns."""
        # The last bytes of finished responses may still be in transit.
        for server in self._servers:
            server.stop()
        with anyio.move_on_after(_CLOSE_SECONDS):
            for server in self._servers:
                await server.wait_closed()
        self._closed.set()
