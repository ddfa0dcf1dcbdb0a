"""Backend servers and callers as nodes of the fake fleet."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.network import Network
from benchmarks.chaos.virtual.node import Node
from sardinetrack.standin.base import StandIn


class ServerNode(Node):
    """A stand-in for a backend server; its counts survive its crashes."""

    def __init__(
        self,
        network: Network,
        address: str,
        standin: StandIn,
    ) -> None:
        """Build one start of the server."""
        super().__init__(network, address)
        self.standin = standin
        self.application = standin

    async def work(self, tasks: TaskGroup) -> None:
        """Serve until killed."""
        await self.accept_connections()

    def kill(self) -> None:
        """Crash and interrupt all executions."""
        self.standin.executions.interrupt_all()
        super().kill()


class CallersNode(Node):
    """The node of all callers, which accepts no connections."""

    async def work(self, tasks: TaskGroup) -> None:
        """Do nothing until killed."""
        await anyio.sleep_forever()
