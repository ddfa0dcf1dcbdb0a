"""What the pools of one entry share."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sardinetrack.catalogue.api import Workspace, WorkspaceLimits
from sardinetrack.routing.breaker import Breaker
from sardinetrack.routing.chance import Chance
from sardinetrack.routing.news import CrashNews
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.routing.strikes import StrikeBook

_UNKNOWN_LIMITS: Final = WorkspaceLimits(1.0, 1, 1.0, 1)
"""For work that still waits when its workspace is taken away."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Names one process of an entry."""

    entry: str
    incarnation: str


class Shared:
    """Limits, breakers, strikes, retries and attempt ids of one entry."""

    def __init__(self, identity: Identity, random: Chance) -> None:
        """Start empty.

        :param identity: of this process.
        :param random: source of all choices.
        """
        self.identity = identity
        self.random = random
        self.strikes = StrikeBook()
        self.news = CrashNews()
        self.retries = RetryBudget()
        self._limits: dict[str, WorkspaceLimits] = {}
        self._breakers: dict[str, Breaker] = {}
        self._attempts = 0

    def configure(self, workspaces: Iterable[Workspace]) -> None:
        """Put the limits in force."""
        self._limits = {one.name: one.limits for one in workspaces}

    def limits(self, workspace: str) -> WorkspaceLimits:
        """Find the limits of a workspace."""
        return self._limits.get(workspace, _UNKNOWN_LIMITS)

    def breaker(self, backend_server: str) -> Breaker:
        """Find the breaker of a backend server; it outlives links."""
        return self._breakers.setdefault(backend_server, Breaker())

    def attempt_id(self) -> str:
        """Name a new attempt, unlike any of other processes."""
        self._attempts += 1
        identity = self.identity
        return f'{identity.entry}.{identity.incarnation}.{self._attempts}'
