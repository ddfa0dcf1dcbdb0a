"""Backend servers and callers as nodes of the fake fleet."""

from __future__ import annotations

from typing import Any

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.network import CURRENT, Network
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
        self.standin.executions.cut_all()
        super().kill()


class CallersNode(Node):
    """Where all callers are."""

    async def work(self, tasks: TaskGroup) -> None:
        """Run callers' tasks."""
        await anyio.sleep_forever()

    def start(self, call: Any, *arguments: Any) -> None:
        """Run one caller."""
        self._tasks.start_soon(self._run_call, call, *arguments)

    async def _run_call(self, call: Any, *arguments: Any) -> None:
        CURRENT.set(self)
        await call(*arguments)
