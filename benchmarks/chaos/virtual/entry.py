"""An entry as a node of the fake fleet, built from the daemon's objects."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.client import VirtualHttp
from benchmarks.chaos.virtual.network import Network
from benchmarks.chaos.virtual.node import Node
from benchmarks.chaos.virtual.platform import NodePlatform, PlatformFaults
from benchmarks.chaos.virtual.settings import entry_dependencies
from sardinetrack.entry.applications import HttpApplication
from sardinetrack.entry.callers import caller_request_handler
from sardinetrack.entry.components import EntryComponents
from sardinetrack.entry.control_tasks import Control
from sardinetrack.http.asgi import Application, Receive, Scope, Send
from sardinetrack.once.claims import ShardedClaimStore
from sardinetrack.store.in_process import MemoryPlatform


class _Listeners:
    """Serves callers and peers at one address."""

    def __init__(self, peers: Application, callers: Application) -> None:
        self._peers = peers
        self._callers = callers

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Pass a call to the application for its path."""
        is_peer = scope['path'].startswith('/peer/')
        application = self._peers if is_peer else self._callers
        await application(scope, receive, send)


class EntryNode(Node):
    """An entry without its real listeners."""

    def __init__(
        self,
        network: Network,
        address: str,
        name: str,
        store: MemoryPlatform,
        faults: PlatformFaults,
    ) -> None:
        """Build one start of the entry."""
        super().__init__(network, address)
        self.name = name
        self.components: EntryComponents
        self._platform = NodePlatform(store, self, faults)

    async def work(self, tasks: TaskGroup) -> None:
        """Build the entry as its composition root does, and serve."""
        clock = anyio.current_time
        async with ShardedClaimStore(
            self._platform, wall_clock=clock
        ) as claims:
            dependencies = entry_dependencies(
                self.name,
                self.network.random,
                self._platform,
                claims,
            )
            self.components = EntryComponents(
                dependencies, VirtualHttp(self.network)
            )
            control = Control(self.components, tasks)
            control.start()
            self.application = _Listeners(
                control.peer_application(),
                HttpApplication(caller_request_handler(self.components).handle),
            )
            await self.accept_connections()
