"""Which servers are in a cold start, as reported or as assumed."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from sardinetrack.topology.servers import BackendServer


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """How long a server is cold, and what it handles during that time."""

    until_seconds: float = -math.inf
    """By the clock of the code that made it; ``-inf`` if never cold."""
    per_second: float = 0
    """Requests a second from all callers; 0 where there is no limit."""
    closed: bool = False
    """Whether nothing may be sent until its end."""

    def left_seconds(self, now: float) -> float:
        """Return how long it is still cold; 0 without a limit."""
        return max(0, self.until_seconds - now) if self.per_second else 0


@dataclass(frozen=True, slots=True)
class ColdEstimate:
    """What one process knows of a server's cold start."""

    reported_until_seconds: float = -math.inf
    """By the server's own record in the instance list."""
    assumed_until_seconds: float = -math.inf
    """As assumed from what has happened to it; no record revokes it."""
    per_second: float = 0

    @property
    def period(self) -> ColdPeriod:
        """The later of both."""
        until = max(self.reported_until_seconds, self.assumed_until_seconds)
        return ColdPeriod(until, self.per_second)


@dataclass(frozen=True, slots=True)
class _Reported:
    revision: int
    cold_seconds: float
    until_seconds: float


class ColdServers:
    """Records until when each server is cold; reads no clock.

    A server's record contains how long it was still cold when it was written.
    Counted from the first reading this is never too short, however late the
    record arrived, and reading the same record again does not start the count
    again.
    """

    def __init__(self) -> None:
        """Start with warm servers."""
        self._reported: dict[str, _Reported] = {}
        self._assumed: dict[str, float] = {}

    def update_server(self, now: float, server: BackendServer) -> None:
        """Apply a server's record, new or read before."""
        known = self._reported.get(server.instance)
        record = (server.revision, server.cold_seconds)
        if known is not None and record == (
            known.revision,
            known.cold_seconds,
        ):
            return
        until_seconds = now + server.cold_seconds
        if not server.cold_seconds:
            # It became warm some time ago, or was never cold.
            before = -math.inf if known is None else known.until_seconds
            until_seconds = min(now, before)
        self._reported[server.instance] = _Reported(*record, until_seconds)

    def assume_cold_for(
        self, now: float, instance: str, seconds: float
    ) -> None:
        """Assume that a server is cold, whatever it reports."""
        known = self._assumed.get(instance, -math.inf)
        self._assumed[instance] = max(known, now + seconds)

    def estimate_for(self, instance: str, per_second: float) -> ColdEstimate:
        """Return what is known of a server's cold start.

        :param per_second: requests a second that a cold server of its pool
            handles.
        """
        reported = self._reported.get(instance)
        return ColdEstimate(
            -math.inf if reported is None else reported.until_seconds,
            self._assumed.get(instance, -math.inf),
            per_second,
        )

    def keep(self, instances: Collection[str]) -> None:
        """Remove all other servers."""
        for kept in (self._reported, self._assumed):
            for stale in set(kept) - set(instances):
                kept.pop(stale)
