"""The progress of one request so far."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final, Self

from sardinetrack.placement.choice import Candidate
from sardinetrack.relay.permit import HeldPermit, Permit
from sardinetrack.relay.stream_directory import StreamBeginning
from sardinetrack.topology.servers import ServerList
from sardinetrack.topology.stream_origin import StreamOrigin

SERVED: Final = 'served'
"""Outcome of a request whose caller has the whole response."""


@dataclass(slots=True)
class Trace:
    """Collects what happens to a request; its last log line reports it."""

    servers: list[str] = field(default_factory=list)
    """Instances that the request was sent to, in order."""
    moves: int = 0
    """Those of the sends that continued a run from a copy of its KV cache."""
    unreachable: set[str] = field(default_factory=set)
    """Instances that accepted no connection: nothing was sent there."""
    permit_requests: int = 0
    """Permits that were requested; the last one's number is one less."""
    waited_seconds: float = 0
    """For permits, at all servers together."""
    origin: StreamOrigin | None = None
    """What began the stream; ``None`` until its caller has an event."""
    beginning: StreamBeginning | None = None
    """Its first event; ``None`` also if another request brought it."""
    unproved_sends: int = 0
    """Sends that no server has proved that it did not run."""
    outcome: str = SERVED
    """The kind of error sent to the caller, if any."""
    status: int = 0
    """Of a response of the entry itself; 0 where a server's was delivered."""
    reason: str = ''

    @property
    def version(self) -> str | None:
        """Software version that began the stream; ``None`` if none has."""
        return None if self.origin is None else self.origin.version

    @property
    def origin_is_certain(self) -> bool:
        """Whether no other software can have begun the stream."""
        return self.beginning is None or self.beginning.is_certain

    def origin_is_doubtful(self, servers: ServerList) -> bool:
        """Whether other software may have begun the stream."""
        beginning = self.beginning
        return beginning is not None and beginning.is_doubtful(servers)

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request."""
        return self.unproved_sends > 0

    @property
    def sent(self) -> int:
        """The number of attempts that were sent; a moved run is one attempt."""
        return len(self.servers) - self.moves


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen server and the permit to send the request to it."""

    candidate: Candidate
    permit: Permit
    is_trial: bool = False
    """Whether a part of its prompt is suspected of crashing engines."""

    def held(self, first_event: Callable[[], None] | None = None) -> Self:
        """Return it with a permit that may be released more than once.

        :param first_event: called at each first event of an attempt.
        """
        return replace(self, permit=HeldPermit(self.permit, first_event))
