"""Read a side's status through its owner task."""

from __future__ import annotations

from http import HTTPStatus

import anyio

from sardinetrack.http.asgi import Exchange
from sardinetrack.side.events import SideEvents, SideStatus, StatusAsked


class StatusSource:
    """Asks the owner task for the side's status."""

    def __init__(self, owner: SideEvents) -> None:
        """Remember the owner's stream."""
        self._owner = owner

    async def read(self) -> SideStatus:
        """Ask now."""
        streams = anyio.create_memory_object_stream[SideStatus](1)
        await self._owner.send(StatusAsked(streams[0]))
        with streams[1] as answers:
            return await answers.receive()

    async def __call__(self, exchange: Exchange) -> None:
        """Answer with the status as JSON."""
        await exchange.answer_json(HTTPStatus.OK, await self.read())
