"""The state of a server when a request is sent to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.routing.breaker import Breaker
from sardinetrack.topology.servers import BackendServer


@dataclass(frozen=True, slots=True)
class SendTarget:
    """A server in the state it had when a request was sent to it.

    The outcome counts for that start of the server; a later start has another
    breaker and another load.
    """

    server: BackendServer
    breaker: Breaker
    generation: int
    load: EstimatedLoad

    @classmethod
    def of(cls, state: EntryState, server: BackendServer) -> Self:
        """Return the current state of a server, and count a request to it."""
        breaker = state.server_states.breaker(server)
        return cls(
            server,
            breaker,
            breaker.request_sent(),
            state.server_states.load(server),
        )

    def record_success(self) -> None:
        """Record a response."""
        self.breaker.request_succeeded(self.generation)

    def record_failure(self, now: float) -> None:
        """Record a failure."""
        self.breaker.request_failed(now, self.generation)

    def record_inconclusive(self) -> None:
        """Record an outcome that shows nothing about the server."""
        self.breaker.request_inconclusive(self.generation)
