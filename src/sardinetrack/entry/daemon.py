"""The entry daemon as a context manager."""

from __future__ import annotations

from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

import anyio

from sardinetrack.config.model import Listen
from sardinetrack.entry.applications import HttpApplication
from sardinetrack.entry.callers import serve_callers
from sardinetrack.entry.control import Control
from sardinetrack.entry.core import EntryCore
from sardinetrack.entry.operator import OperatorPages
from sardinetrack.entry.parts import EntryParts
from sardinetrack.http.asgi import Application
from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import BoundServer, serving
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.process.api import Drainable

_LOG: Final = PartLogger(Part.ENTRY)
_CLOSE_SECONDS: Final = 2.0


class Entry(Drainable):
    """Serves while the context lasts; ``run`` returns after a drain."""

    def __init__(self, parts: EntryParts) -> None:
        """Prepare an entry; entering the context starts it."""
        self._parts = parts
        self._stack = AsyncExitStack()
        self._ended = anyio.Event()
        self.core: EntryCore
        self.callers: BoundServer
        self.peer: BoundServer
        self.operator: BoundServer

    async def __aenter__(self) -> Self:
        """Start the tasks and the servers."""
        async with self._stack as stack:
            await self._open(stack)
            self._stack = stack.pop_all()
        _LOG.info(
            'serving',
            callers=self.callers.address,
            peers=self.peer.address,
            operators=self.operator.address,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop everything; what still runs is cut."""
        return await self._stack.__aexit__(kind, error, trace)

    async def run(self) -> None:
        """Return when a drain is over."""
        await self._ended.wait()

    async def drain(self) -> None:
        """Let the balancer look away, finish what is in progress, close.

        Bounded by the settings: what runs longer is cut off.
        """
        gate = self.core.gate
        gate.leave()
        _LOG.info('draining', requests=gate.inside)
        # A listener that closed before the balancer has noticed would turn
        # new callers away with a reset instead of an answer.
        await anyio.sleep(self._parts.balancer_seconds)
        gate.shut()
        with anyio.move_on_after(self._parts.settings.drain_seconds):
            await gate.empty()
        gate.close()
        if gate.inside:
            _LOG.error('drain took too long', cut=gate.inside)
        await self._close_servers()
        self._ended.set()

    async def _open(self, stack: AsyncExitStack) -> None:
        http = await stack.enter_async_context(HttpClient())
        self.core = EntryCore(self._parts, http)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        control = Control(self.core, tasks)
        settings = self._parts.settings
        self.operator = await self._serve(
            stack,
            self._operator_application(),
            settings.operator,
        )
        self.peer = await self._serve(
            stack,
            control.peer_application(),
            settings.peer,
        )
        control.start()
        self.callers = await stack.enter_async_context(
            serve_callers(self.core),
        )

    async def _serve(
        self,
        stack: AsyncExitStack,
        application: Application,
        listen: Listen,
    ) -> BoundServer:
        server = serving(application, listen.ip, listen.port)
        return await stack.enter_async_context(server)

    def _operator_application(self) -> Application:
        pages = OperatorPages(
            self.core.status.read,
            self.core.metrics,
            self._parts.settings.model_dump(mode='json'),
        )
        return HttpApplication(pages.handle)

    async def _close_servers(self) -> None:
        # The last bytes of finished answers may still be on their way out.
        servers = (self.callers, self.peer, self.operator)
        for server in servers:
            server.stop()
        with anyio.move_on_after(_CLOSE_SECONDS):
            for server in servers:
                await server.closed()
