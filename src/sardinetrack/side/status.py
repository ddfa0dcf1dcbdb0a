"""Reads a side's status from its owner task."""

from __future__ import annotations

from http import HTTPStatus

from sardinetrack.http.asgi import HttpExchange
from sardinetrack.side.events import SideEvents, SideStatusPage, StatusRequested
from sardinetrack.side.owner_queries import query_owner


class StatusSource:
    """Queries the owner task for the side's status."""

    def __init__(self, owner: SideEvents) -> None:
        self._owner = owner

    async def read(self) -> SideStatusPage:
        """Return the current status."""
        return await query_owner(self._owner, StatusRequested)

    async def __call__(self, exchange: HttpExchange) -> None:
        """Respond with the status as JSON."""
        await exchange.respond_json(HTTPStatus.OK, await self.read())
