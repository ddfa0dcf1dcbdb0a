"""Which servers are cold, by their own word and by what is presumed."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from sardinetrack.topology.servers import BackendServer


@dataclass(frozen=True, slots=True)
class Cold:
    """How long a server stays cold, and what it bears meanwhile."""

    until_seconds: float = -math.inf
    per_second: float = 0
    """Requests a second from all callers; 0 where there is no bound."""

    def left_seconds(self, now: float) -> float:
        """Tell how long it stays cold."""
        return max(0, self.until_seconds - now) if self.per_second else 0


@dataclass(frozen=True, slots=True)
class ColdWord:
    """What one process knows of it."""

    reported_until_seconds: float = -math.inf
    """By the server's own entry in the list."""
    assumed_until_seconds: float = -math.inf
    """By what has happened to it; no entry tells that it is warm after all."""
    per_second: float = 0

    @property
    def cold(self) -> Cold:
        """Take the later one."""
        until = max(self.reported_until_seconds, self.assumed_until_seconds)
        return Cold(until, self.per_second)


@dataclass(frozen=True, slots=True)
class _Told:
    revision: int
    cold_seconds: float
    until_seconds: float


class ColdServers:
    """Remembers since when each word holds; reads no clock.

    A server's entry tells how long it was still cold when that was written.
    Counted from the first reading this is never too short, however late the
    entry came, and an entry that is read again begins nothing anew.
    """

    def __init__(self) -> None:
        """Start with warm servers."""
        self._told: dict[str, _Told] = {}
        self._presumed: dict[str, float] = {}

    def hear(self, now: float, server: BackendServer) -> None:
        """Take a server's entry, read now or before."""
        held = self._told.get(server.instance)
        word = (server.revision, server.cold_seconds)
        if held is not None and word == (held.revision, held.cold_seconds):
            return
        until_seconds = now + server.cold_seconds
        if not server.cold_seconds:
            # It became warm some time ago, or never was cold.
            before = -math.inf if held is None else held.until_seconds
            until_seconds = min(now, before)
        self._told[server.instance] = _Told(*word, until_seconds)

    def presume(self, now: float, instance: str, seconds: float) -> None:
        """Take a server for cold, whatever it tells."""
        held = self._presumed.get(instance, -math.inf)
        self._presumed[instance] = max(held, now + seconds)

    def word(self, instance: str, per_second: float) -> ColdWord:
        """Tell what is known of a server.

        :param per_second: what the servers of its pool bear while cold.
        """
        told = self._told.get(instance)
        return ColdWord(
            -math.inf if told is None else told.until_seconds,
            self._presumed.get(instance, -math.inf),
            per_second,
        )

    def keep(self, instances: Collection[str]) -> None:
        """Forget all other servers."""
        for kept in (self._told, self._presumed):
            for stale in set(kept) - set(instances):
                kept.pop(stale)
