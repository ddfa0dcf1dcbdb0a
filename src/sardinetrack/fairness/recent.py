"""What each workspace was served lately; the past fades."""

from __future__ import annotations

import math
from collections.abc import Hashable
from itertools import islice, takewhile
from typing import Final, Generic, NamedTuple, TypeVar

HALF_SECONDS: Final = 4.0
"""After so long an idle workspace has half of its service left.

The users owe each workspace its share over windows of four seconds.
"""
_FORGET_TOKENS: Final = 1.0
_MOST_NAMES: Final = 20_000

Name = TypeVar('Name', bound=Hashable)


class _Served(NamedTuple):
    tokens: float
    since_seconds: float
    number: int
    """Of the change that made it; later ones are greater."""


class RecentService(Generic[Name]):
    """Service by name, each fading by half every four seconds."""

    def __init__(self) -> None:
        """Start with nobody served."""
        # In the order of the changes, the newest last.
        self._served: dict[Name, _Served] = {}
        self._most_names = _MOST_NAMES
        self.number = 0
        """Of the newest change; 0 before the first."""

    def add(self, now: float, name: Name, tokens: float) -> None:
        """Count service.

        :param tokens: read ones, and generated ones twice.
        """
        self.put(now, name, self.tokens(now, name) + tokens)

    def put(self, now: float, name: Name, tokens: float) -> None:
        """Take over a count that was made elsewhere."""
        self._served.pop(name, None)
        self.number += 1
        self._served[name] = _Served(tokens, now, self.number)
        if len(self._served) > self._most_names:
            self._forget(now)

    def tokens(self, now: float, name: Name) -> float:
        """Tell the faded service."""
        served = self._served.get(name)
        return float(0) if served is None else _faded(now, served)

    def newest(
        self,
        now: float,
        after: int,
        most: int,
    ) -> list[tuple[Name, float]]:
        """Tell what has changed last.

        :param after: number of a change; older ones are left out.
        :param most: so many names at the most.
        :return: names with their faded service, the newest first.
        """
        changed = takewhile(
            lambda row: row[1].number > after,
            reversed(self._served.items()),
        )
        return [
            (name, _faded(now, served))
            for name, served in islice(changed, most)
        ]

    def _forget(self, now: float) -> None:
        self._served = {
            name: served
            for name, served in self._served.items()
            if _faded(now, served) > _FORGET_TOKENS
        }
        # Who is left may all have been served lately: without this every
        # further name would walk over all of them.
        self._most_names = max(_MOST_NAMES, 2 * len(self._served))


class SharedService:
    """Service over the whole fleet, from what each entry tells of its own.

    An entry tells with each request what it has had served to the workspace
    at all servers. So a workspace whose prompts are at home at one busy
    server is not held to its share of that server alone.
    """

    def __init__(self) -> None:
        """Start with nobody served."""
        self._by_entry = RecentService[tuple[str, str]]()
        # All counts fade alike, so the faded sum is the sum of faded counts.
        self._sums = RecentService[str]()

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
        key = (entry, workspace)
        more_tokens = tokens - self._by_entry.tokens(now, key)
        if more_tokens > 0:
            self._by_entry.put(now, key, tokens)
            self._sums.add(now, workspace, more_tokens)

    def add(
        self,
        now: float,
        entry: str,
        workspace: str,
        tokens: float,
    ) -> None:
        """Count a grant until the entry tells of it."""
        self._by_entry.add(now, (entry, workspace), tokens)
        self._sums.add(now, workspace, tokens)

    def lift(self, now: float, workspace: str, least_tokens: float) -> None:
        """Count a workspace as served at least so much.

        It fades as service does.
        """
        short_tokens = least_tokens - self.tokens(now, workspace)
        if short_tokens > 0:
            self._sums.add(now, workspace, short_tokens)

    def tokens(self, now: float, workspace: str) -> float:
        """Sum the faded service over all entries."""
        return self._sums.tokens(now, workspace)


def _faded(now: float, served: _Served) -> float:
    return served.tokens * math.exp2(
        (served.since_seconds - now) / HALF_SECONDS,
    )
