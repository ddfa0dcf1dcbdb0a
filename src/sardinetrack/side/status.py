"""Read a side's status through its owner task."""

from __future__ import annotations

from http import HTTPStatus

from sardinetrack.http.asgi import Exchange
from sardinetrack.side.events import SideEvents, SideStatus, StatusAsked
from sardinetrack.side.questions import ask_owner


class StatusSource:
    """Asks the owner task for the side's status."""

    def __init__(self, owner: SideEvents) -> None:
        """Remember the owner's stream."""
        self._owner = owner

    async def read(self) -> SideStatus:
        """Ask now."""
        return await ask_owner(self._owner, StatusAsked)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer with the status as JSON."""
        await exchange.answer_json(HTTPStatus.OK, await self.read())
