"""State that the pools of one entry share."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sardinetrack.catalogue.api import Workspace, WorkspaceLimits
from sardinetrack.routing.breaker import Breaker
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.routing.rng import RandomSource
from sardinetrack.routing.strike_sync import StrikeSync
from sardinetrack.routing.strikes import StrikeRegistry

_UNKNOWN_LIMITS: Final = WorkspaceLimits(1.0, 1, 1.0, 1)
"""For requests still queued when their workspace is deleted."""


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Name and incarnation of an entry's process."""

    entry: str
    incarnation: str


class SharedState:
    """Limits, breakers, strikes, retry budget and attempt ids of one entry."""

    def __init__(self, identity: ProcessIdentity, rng: RandomSource) -> None:
        """Create the state without limits and breakers.

        :param identity: of this process.
        :param rng: random number generator for all choices.
        """
        self.identity = identity
        self.rng = rng
        self.strikes = StrikeRegistry()
        self.strike_sync = StrikeSync()
        self.retries = RetryBudget()
        self._limits: dict[str, WorkspaceLimits] = {}
        self._breakers: dict[str, Breaker] = {}
        self._attempts = 0

    def configure(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the limits."""
        self._limits = {one.name: one.limits for one in workspaces}

    def limits(self, workspace: str) -> WorkspaceLimits:
        """Return the limits of a workspace."""
        return self._limits.get(workspace, _UNKNOWN_LIMITS)

    def breaker(self, backend_server: str) -> Breaker:
        """Return the breaker of a backend server; it is kept across links."""
        return self._breakers.setdefault(backend_server, Breaker())

    def attempt_id(self) -> str:
        """Return a new attempt id, unique among all processes."""
        self._attempts += 1
        identity = self.identity
        return f'{identity.entry}.{identity.incarnation}.{self._attempts}'
