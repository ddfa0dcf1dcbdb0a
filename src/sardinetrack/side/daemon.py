"""The side daemon as a context manager."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import Final

import anyio

from sardinetrack.http.client import HttpClient
from sardinetrack.http.connections import ClientConnectionPool
from sardinetrack.http.server import BoundServer
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.process.daemon import ServingDaemon
from sardinetrack.process.startup import startup_durations
from sardinetrack.side.components import SideComponents
from sardinetrack.side.dependencies import SideDependencies
from sardinetrack.side.events import DrainStarted, DrainTimedOut
from sardinetrack.side.model_loader import build_model_loader

_LOG: Final = ComponentLogger(LogComponent.SIDE)
_LINGER_SECONDS: Final = 0.5
"""Run requests sent before entries received the drain notice get a clear
refusal."""


class SideDaemon(ServingDaemon):
    """Serves while the context lasts; ``run`` returns after a drain."""

    def __init__(self, dependencies: SideDependencies) -> None:
        super().__init__()
        self._dependencies = dependencies
        self._components: SideComponents
        self.peer_server: BoundServer
        self.operator_server: BoundServer

    async def drain(self) -> None:
        """Refuse new run requests, let running ones finish, then close.

        Requests that run longer than the settings allow are cancelled.
        """
        idle = anyio.Event()
        await self._components.events.send(DrainStarted(idle))
        with anyio.move_on_after(self._dependencies.settings.drain_seconds):
            await idle.wait()
        if not idle.is_set():
            await self._components.events.send(DrainTimedOut())
        await anyio.sleep(_LINGER_SECONDS)
        await self._close_servers()

    async def _open(self, stack: AsyncExitStack) -> None:
        connections = ClientConnectionPool(on_surplus=self._record_surplus)
        client = await stack.enter_async_context(
            HttpClient(connections=connections)
        )
        self._components = SideComponents(self._dependencies, client)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._components.owner.run)
        tasks.start_soon(self._components.watch.run)
        if self._dependencies.platform is not None:
            model_loader = build_model_loader(
                self._dependencies,
                self._dependencies.platform,
                client,
                self._components.observer,
                self._components.condition,
            )
            tasks.start_soon(model_loader.run)
        settings = self._dependencies.settings
        self.operator_server = await self._serve(
            stack,
            self._components.operator_application(),
            settings.operator,
        )
        self.peer_server = await self._serve(
            stack,
            self._components.peer_application(),
            settings.peer,
        )

    def _record_surplus(self, origin: str) -> None:
        self._components.record_surplus(origin)

    def _log_serving(self) -> None:
        _LOG.info(
            'serving',
            peers=self.peer_server.address,
            operators=self.operator_server.address,
            backend_server=self._dependencies.settings.backend_server,
            **startup_durations(),
        )
