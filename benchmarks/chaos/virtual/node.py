"""A process of the fake fleet, from its start until it is killed."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.network import CURRENT, Connection, Network
from benchmarks.chaos.virtual.pipe import PipeBrokenError
from benchmarks.chaos.virtual.serve import (
    VirtualRequest,
    serve_http,
    serve_websocket,
)
from sardinetrack.http.asgi import Application

_CONNECTION_NUMBERS: Final = itertools.count(1)


class Node(ABC):
    """One start of one process."""

    application: Application

    def __init__(self, network: Network, address: str) -> None:
        """Build a process that is not started; ``run`` starts it."""
        self.network = network
        self.address = address
        self.is_running = True
        self.is_listening = False
        self._scope = anyio.CancelScope()
        self._tasks: TaskGroup

    @abstractmethod
    async def work(self, tasks: TaskGroup) -> None:
        """Start the tasks, call ``accept_connections``, and never return."""

    async def accept_connections(self) -> None:
        """Accept connections from now on; never returns."""
        self.is_listening = True
        await anyio.sleep_forever()

    async def run(self) -> None:
        """Run until killed."""
        CURRENT.set(self)
        self.network.nodes[self.address] = self
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await self.work(tasks)

    def kill(self) -> None:
        """Stop immediately, without a graceful shutdown."""
        self.is_running = False
        self.is_listening = False
        self.network.close_connections(self.address)
        self._scope.cancel()

    def accept(self, connection: Connection) -> None:
        """Serve a new connection."""
        self._tasks.start_soon(self._serve, connection)

    async def _serve(self, connection: Connection) -> None:
        CURRENT.set(self)
        try:
            request: VirtualRequest = await connection.forward.receive()
        except PipeBrokenError:
            return
        serve: Any = serve_websocket if request.is_link else serve_http
        try:
            await serve(
                self.application, connection, request, next(_CONNECTION_NUMBERS)
            )
        finally:
            connection.backward.end()
            self.network.connections.discard(connection)
