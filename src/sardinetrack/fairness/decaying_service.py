"""Recent service of each workspace, with exponential decay."""

from __future__ import annotations

import math
from collections.abc import Hashable
from itertools import islice, takewhile
from typing import Final, Generic, NamedTuple, TypeVar

HALF_LIFE_SECONDS: Final = 4.0
"""After this time an idle workspace has half of its service left.

The users owe each workspace its share over windows of four seconds.
"""
_MIN_TOKENS: Final = 1.0
_MAX_NAMES: Final = 20_000

Name = TypeVar('Name', bound=Hashable)


class _Served(NamedTuple):
    tokens: float
    since_seconds: float
    """When the count was made, on the monotonic clock."""
    number: int
    """Number of the change that made it; later ones are greater."""


class DecayingService(Generic[Name]):
    """Service by name; each count decays by half every four seconds."""

    def __init__(self) -> None:
        # In the order of the changes, the newest last.
        self._served: dict[Name, _Served] = {}
        self._max_names = _MAX_NAMES
        self.number = 0
        """Number of the newest change; 0 before the first."""

    def add(self, now: float, name: Name, tokens: float) -> None:
        """Add service.

        :param tokens: of prompts, cached ones too, and generated ones twice.
        """
        self.put(now, name, self.tokens(now, name) + tokens)

    def put(self, now: float, name: Name, tokens: float) -> None:
        """Replace a count by one made elsewhere."""
        self._served.pop(name, None)
        self.number += 1
        self._served[name] = _Served(tokens, now, self.number)
        if len(self._served) > self._max_names:
            self._drop_decayed(now)

    def tokens(self, now: float, name: Name) -> float:
        """Return the decayed service."""
        served = self._served.get(name)
        return float(0) if served is None else _decayed(now, served)

    def newest(
        self,
        now: float,
        after: int,
        maximum: int,
    ) -> list[tuple[Name, float]]:
        """Return the newest changes.

        :param after: number of a change; older ones are left out.
        :param maximum: maximum number of names.
        :return: names with their decayed service, the newest first.
        """
        changed = takewhile(
            lambda row: row[1].number > after,
            reversed(self._served.items()),
        )
        return [
            (name, _decayed(now, served))
            for name, served in islice(changed, maximum)
        ]

    def _drop_decayed(self, now: float) -> None:
        self._served = {
            name: served
            for name, served in self._served.items()
            if _decayed(now, served) > _MIN_TOKENS
        }
        # All that remain may have been served recently: without this every
        # further name would walk over all of them.
        self._max_names = max(_MAX_NAMES, 2 * len(self._served))


class FleetService:
    """Service received in the whole fleet, from the reports of all entries.

    With each request an entry reports what it has had served to the workspace
    at all servers. So a workspace whose prompts have one busy home server is
    not limited to its share of that server alone.
    """

    def __init__(self) -> None:
        self._by_entry = DecayingService[tuple[str, str]]()
        # All counts decay alike: the decayed sum is the sum of decayed counts.
        self._sums = DecayingService[str]()
        self._lifts = DecayingService[str]()

    def update(
        self,
        now: float,
        entry: str,
        workspace: str,
        tokens: float,
    ) -> None:
        """Take the count of one entry, unless the own count is higher.

        A report does not include what was granted while it was on its way.
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
        """Count a grant until the entry reports it."""
        self._by_entry.add(now, (entry, workspace), tokens)
        self._sums.add(now, workspace, tokens)

    def lift(
        self,
        now: float,
        workspace: str,
        min_tokens: float,
        max_lift_tokens: float = math.inf,
    ) -> None:
        """Raise the service of a workspace to a minimum.

        The added service decays like any other.

        :param max_lift_tokens: added at most, earlier lifts included.
        """
        lifted_tokens = self.lifted_tokens(now, workspace)
        short_tokens = min(
            min_tokens - self.tokens(now, workspace),
            max_lift_tokens - lifted_tokens,
        )
        if short_tokens > 0:
            self._lifts.add(now, workspace, short_tokens)

    def tokens(self, now: float, workspace: str) -> float:
        """Return the decayed service of all entries, lifts included."""
        return self._sums.tokens(now, workspace) + self.lifted_tokens(
            now, workspace
        )

    def lifted_tokens(self, now: float, workspace: str) -> float:
        """Return what is left of the lifts of a workspace."""
        return self._lifts.tokens(now, workspace)


def decay(seconds: float) -> float:
    """Return the fraction of a count that is left after some time."""
    return math.exp2(-seconds / HALF_LIFE_SECONDS)


def _decayed(now: float, served: _Served) -> float:
    return served.tokens * decay(now - served.since_seconds)
