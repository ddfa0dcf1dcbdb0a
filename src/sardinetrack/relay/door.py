"""What a caller's connection needs of its entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from sardinetrack.relay.api import Call
from sardinetrack.topology.configuration import CallerLimits

if TYPE_CHECKING:
    from sardinetrack.relay.caller_connection import CallerConnection


class Door(ABC):
    """Serves calls and knows the connections."""

    limits: CallerLimits

    @abstractmethod
    def now(self) -> float:
        """Read the clock of the event loop."""

    @abstractmethod
    def opened(self, connection: CallerConnection) -> None:
        """Note a new connection."""

    @abstractmethod
    def closed(self, connection: CallerConnection) -> None:
        """Note that a connection is gone."""

    @abstractmethod
    async def serve(self, call: Call, caller: CallerConnection) -> None:
        """Answer a call."""

    @abstractmethod
    def failed(self, error: BaseException | None) -> None:
        """Note a fault of the program."""
