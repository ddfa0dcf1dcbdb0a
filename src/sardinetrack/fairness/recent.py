"""What each workspace was served lately; the past fades."""

from __future__ import annotations

import math
from typing import Final

HALF_SECONDS: Final = 4.0
"""After so long an idle workspace has half of its service left.

The users owe each workspace its share over windows of four seconds.
"""
_FORGET_TOKENS: Final = 1.0
_MOST_NAMES: Final = 20_000
_LIFT: Final = '*'
"""Stands for no entry."""


class RecentService:
    """Service by name, each fading by half every four seconds."""

    def __init__(self) -> None:
        """Start with nobody served."""
        self._served: dict[str, tuple[float, float]] = {}

    def add(self, now: float, name: str, tokens: float) -> None:
        """Count service.

        :param tokens: read ones, and generated ones twice.
        """
        self.put(now, name, self.tokens(now, name) + tokens)

    def put(self, now: float, name: str, tokens: float) -> None:
        """Take over a count that was made elsewhere."""
        self._served[name] = (tokens, now)
        if len(self._served) > _MOST_NAMES:
            self._forget(now)

    def tokens(self, now: float, name: str) -> float:
        """Tell the faded service."""
        tokens, since = self._served.get(name, (float(0), now))
        return tokens * math.exp2((since - now) / HALF_SECONDS)

    def total(self, now: float) -> float:
        """Sum over all names."""
        return sum(self.tokens(now, name) for name in self._served)

    def _forget(self, now: float) -> None:
        self._served = {
            name: held
            for name, held in self._served.items()
            if self.tokens(now, name) > _FORGET_TOKENS
        }


class SharedService:
    """Service over the whole fleet, from what each entry tells of its own.

    An entry tells with each request what it has had served to the workspace
    at all servers. So a workspace whose prompts are at home at one busy
    server is not held to its share of that server alone.
    """

    def __init__(self) -> None:
        """Start with nobody served."""
        self._by_workspace: dict[str, RecentService] = {}

    def hear(
        self,
        now: float,
        entry: str,
        workspace: str,
        tokens: float,
    ) -> None:
        """Take over the count of one entry, unless it is behind.

        What was granted while the entry's word was on its way is not in it.
        """
        served = self._of(workspace)
        served.put(now, entry, max(tokens, served.tokens(now, entry)))

    def add(
        self,
        now: float,
        entry: str,
        workspace: str,
        tokens: float,
    ) -> None:
        """Count a grant until the entry tells of it."""
        self._of(workspace).add(now, entry, tokens)

    def lift(self, now: float, workspace: str, least_tokens: float) -> None:
        """Count a workspace as served at least so much.

        It fades as service does.
        """
        short_tokens = least_tokens - self.tokens(now, workspace)
        if short_tokens > 0:
            self._of(workspace).add(now, _LIFT, short_tokens)

    def tokens(self, now: float, workspace: str) -> float:
        """Sum the faded service over all entries."""
        served = self._by_workspace.get(workspace)
        return 0 if served is None else served.total(now)

    def _of(self, workspace: str) -> RecentService:
        served = self._by_workspace.get(workspace)
        if served is None:
            served = RecentService()
            self._by_workspace[workspace] = served
        return served
