"""A process of the fake fleet: it serves, dies, and is followed by another."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.network import CURRENT, Connection, Network
from benchmarks.chaos.virtual.pipe import PipeBrokenError
from benchmarks.chaos.virtual.serve import Head, serve_http, serve_websocket
from sardinetrack.http.asgi import Application

_NUMBERS: Final = itertools.count(1)


class Node(ABC):
    """One life of one process."""

    application: Application

    def __init__(self, network: Network, address: str) -> None:
        """Prepare; ``run`` makes it live."""
        self.network = network
        self.address = address
        self.alive = True
        self.listens = False
        self._scope = anyio.CancelScope()
        self._tasks: TaskGroup

    @abstractmethod
    async def work(self, tasks: TaskGroup) -> None:
        """Start the tasks, call ``opened``, and never return."""

    async def opened(self) -> None:
        """Take connections from now on."""
        self.listens = True
        await anyio.sleep_forever()

    async def run(self) -> None:
        """Live until killed."""
        CURRENT.set(self)
        self.network.nodes[self.address] = self
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await self.work(tasks)

    def kill(self) -> None:
        """Die at once, without a word."""
        self.alive = False
        self.listens = False
        self.network.bury(self.address)
        self._scope.cancel()

    def take(self, connection: Connection) -> None:
        """Serve a new connection."""
        self._tasks.start_soon(self._serve, connection)

    async def _serve(self, connection: Connection) -> None:
        CURRENT.set(self)
        try:
            head: Head = await connection.there.receive()
        except PipeBrokenError:
            return
        serve: Any = serve_websocket if head.is_link else serve_http
        try:
            await serve(self.application, connection, head, next(_NUMBERS))
        finally:
            connection.back.end()
            self.network.connections.discard(connection)
