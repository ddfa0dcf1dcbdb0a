"""The side daemon as a context manager."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import Final

import anyio

from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import BoundServer
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.process.daemon import ServingDaemon
from sardinetrack.process.startup import startup_cost
from sardinetrack.side.events import CutOff, DrainBegan
from sardinetrack.side.ordering import model_orders
from sardinetrack.side.parts import SideParts
from sardinetrack.side.wiring import Wiring

_LOG: Final = PartLogger(Part.SIDE)
_LINGER_SECONDS: Final = 0.5
"""Orders sent before the entries heard of the drain get a clear refusal."""


class Side(ServingDaemon):
    """Serves while the context lasts; ``run`` returns after a drain."""

    def __init__(self, parts: SideParts) -> None:
        """Prepare a side; entering the context starts it."""
        super().__init__()
        self._parts = parts
        self._wiring: Wiring
        self.peer: BoundServer
        self.operator: BoundServer

    async def drain(self) -> None:
        """Refuse new orders, let running ones finish, then close.

        Bounded by the settings: what runs longer is cut off.
        """
        idle = anyio.Event()
        await self._wiring.events.send(DrainBegan(idle))
        with anyio.move_on_after(self._parts.settings.drain_seconds):
            await idle.wait()
        if not idle.is_set():
            await self._wiring.events.send(CutOff())
        await anyio.sleep(_LINGER_SECONDS)
        await self._end()

    async def _open(self, stack: AsyncExitStack) -> None:
        client = await stack.enter_async_context(HttpClient())
        self._wiring = Wiring(self._parts, client)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._wiring.owner.run)
        tasks.start_soon(self._wiring.watch.run)
        if self._parts.platform is not None:
            orders = model_orders(
                self._parts,
                self._parts.platform,
                client,
            )
            tasks.start_soon(orders.run)
        settings = self._parts.settings
        self.operator = await self._serve(
            stack,
            self._wiring.operator_application(),
            settings.operator,
        )
        self.peer = await self._serve(
            stack,
            self._wiring.peer_application(),
            settings.peer,
        )

    def _tell_serving(self) -> None:
        _LOG.info(
            'serving',
            peers=self.peer.address,
            operators=self.operator.address,
            backend_server=self._parts.settings.backend_server,
            **startup_cost(),
        )
