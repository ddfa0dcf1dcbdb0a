"""Backend servers and callers as nodes of the fake fleet."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.network import Network
from benchmarks.chaos.virtual.node import Node
from sardinetrack.standin.base import StandIn


class ServerNode(Node):
    """A stand-in for a backend server; its counts outlive its crashes."""

    def __init__(
        self,
        network: Network,
        address: str,
        standin: StandIn,
    ) -> None:
        """Prepare one life of the server."""
        super().__init__(network, address)
        self.standin = standin
        self.application = standin

    async def work(self, tasks: TaskGroup) -> None:
        """Serve."""
        await self.opened()

    def kill(self) -> None:
        """Crash: all that runs is cut."""
        self.standin.executions.interrupt_all()
        super().kill()


class CallersNode(Node):
    """Where all callers are; it only calls."""

    async def work(self, tasks: TaskGroup) -> None:
        """Take no calls."""
        await anyio.sleep_forever()
