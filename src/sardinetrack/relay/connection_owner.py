"""The interface between a caller's connection and its entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING

from sardinetrack.errors.api import RequestError
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.held_bytes import BodyHold
from sardinetrack.relay.input_turns import InputTurns
from sardinetrack.topology.configuration import CallerLimits

if TYPE_CHECKING:
    from sardinetrack.relay.caller_connection import CallerConnection


class ConnectionOwner(ABC):
    """Serves requests and tracks the connections."""

    def __init__(self, limits: Callable[[], CallerLimits]) -> None:
        """Start without connections.

        :param limits: returns the limits on what a caller may send now.
        """
        self.input_turns = InputTurns()
        self._limits = limits

    @property
    def limits(self) -> CallerLimits:
        """The limits on what a caller may send."""
        return self._limits()

    @abstractmethod
    def now(self) -> float:
        """Return the time of the event loop's clock."""

    @abstractmethod
    def opened(self, connection: CallerConnection) -> None:
        """Register a new connection."""

    @abstractmethod
    def closed(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""

    @abstractmethod
    def hold_head(self) -> BodyHold:
        """Return a hold of no bytes for a head that is read."""

    @abstractmethod
    def hold_body(self, call: CallerRequest) -> BodyHold:
        """Return a hold of no bytes for a request whose body is read.

        :param call: its head.
        """

    @abstractmethod
    def refuse(
        self,
        call: CallerRequest,
        caller: CallerConnection,
        error: RequestError,
    ) -> None:
        """Respond with an error to a request that is not served."""

    @abstractmethod
    async def serve(
        self, call: CallerRequest, caller: CallerConnection
    ) -> None:
        """Serve a request."""

    @abstractmethod
    def failed(self, error: BaseException | None) -> None:
        """Log an unexpected exception."""
