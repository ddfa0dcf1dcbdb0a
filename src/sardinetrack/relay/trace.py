"""What has happened to one request so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from sardinetrack.placement.choice import Candidate
from sardinetrack.relay.turn import Turn


@dataclass(slots=True)
class Trace:
    """Grows with each step; the last log line of the request tells it."""

    servers: list[str] = field(default_factory=list)
    """Instances that the request was sent to, in order."""
    unreached: set[str] = field(default_factory=set)
    """Instances that took no connection: nothing was sent there."""
    asks: int = 0
    """Turns that were asked for; the last one's number is one less."""
    waited_seconds: float = 0
    """For a turn, at all servers together."""
    proved_not_run: bool = True
    end: str = 'served'
    """The kind of error that the caller was told, if any."""
    status: int = 0
    """Of an answer of our own; 0 where a server's was delivered."""
    reason: str = ''

    @property
    def sent(self) -> int:
        """Count the sends."""
        return len(self.servers)


@dataclass(frozen=True, slots=True)
class Placed:
    """Leave to send the request to one server."""

    candidate: Candidate
    turn: Turn
