"""The entry daemon as a context manager."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import Final

import anyio

from sardinetrack.entry.applications import HttpApplication
from sardinetrack.entry.callers import serve_callers
from sardinetrack.entry.components import EntryComponents
from sardinetrack.entry.control_tasks import Control
from sardinetrack.entry.dependencies import EntryDependencies
from sardinetrack.entry.operator import OperatorPages
from sardinetrack.http.asgi import Application
from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import BoundServer
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.process.daemon import ServingDaemon
from sardinetrack.process.startup import startup_durations

_LOG: Final = ComponentLogger(LogComponent.ENTRY)


class EntryDaemon(ServingDaemon):
    """Serves while the context is open; ``run`` returns after a drain."""

    def __init__(self, dependencies: EntryDependencies) -> None:
        """Store the dependencies; entering the context starts the entry.

        :param dependencies: settings and collaborators of the entry.
        """
        super().__init__()
        self._dependencies = dependencies
        self.components: EntryComponents
        self.callers: BoundServer
        self.peer: BoundServer
        self.operator: BoundServer

    async def drain(self) -> None:
        """Wait for the load balancer and for requests in progress, then close.

        Requests that run longer than the configured time are interrupted.
        """
        gate = self.components.gate
        gate.begin_shutdown()
        _LOG.info('draining', requests=gate.inside)
        # If the listener closed before the load balancer has noticed, new
        # callers would get a connection reset instead of a response.
        await anyio.sleep(self._dependencies.balancer_seconds)
        gate.stop_accepting()
        with anyio.move_on_after(self._dependencies.settings.drain_seconds):
            await gate.wait_idle()
        gate.end_drain()
        if gate.inside:
            _LOG.error(
                'drain timed out; interrupting the requests in progress',
                cut=gate.inside,
            )
        await self._close_servers()

    async def _open(self, stack: AsyncExitStack) -> None:
        http = await stack.enter_async_context(HttpClient())
        self.components = EntryComponents(self._dependencies, http)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        control = Control(self.components, tasks)
        settings = self._dependencies.settings
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
        self.callers = await self._start(stack, serve_callers(self.components))

    def _log_serving(self) -> None:
        _LOG.info(
            'serving',
            callers=self.callers.address,
            peers=self.peer.address,
            operators=self.operator.address,
            **startup_durations(),
        )

    def _operator_application(self) -> Application:
        pages = OperatorPages(
            self.components.status.read,
            self.components.metrics,
            self._dependencies.settings.model_dump(mode='json'),
        )
        return HttpApplication(pages.handle)
