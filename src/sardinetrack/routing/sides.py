"""Known state of the sides of one pool, and the choice among them."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.messages.api import SideLoad, SidePhase
from sardinetrack.routing.api import SideInfo
from sardinetrack.routing.breaker import Breaker
from sardinetrack.routing.rng import RandomSource

_AFFINITY_BONUS: Final = 2
"""A side that caches the prefix may have so many fewer free slots."""
_MAX_PREFIXES: Final = 4096
_CHOICES: Final = 2


@dataclass(slots=True)
class Side:
    """A side's last reported state, and its breaker."""

    info: SideInfo
    breaker: Breaker = field(default_factory=Breaker)
    incarnation: str = ''
    serving: bool = True
    free: int = 0
    limit: int = 0
    grants_seen: int = 0
    last_bid_seconds: float = float('-inf')


class SideTable:
    """Chooses sides for dispatches without a grant and for bids."""

    def __init__(self, rng: RandomSource) -> None:
        """Create a table without sides.

        :param rng: random number generator for all choices.
        """
        self._rng = rng
        self._sides: dict[str, Side] = {}
        self._prefixes: dict[int, str] = {}

    def __len__(self) -> int:
        """Count the sides."""
        return len(self._sides)

    def add(self, info: SideInfo, breaker: Breaker) -> None:
        """Add a side."""
        self._sides[info.side] = Side(info, breaker)

    def remove(self, side: str) -> Side | None:
        """Remove a side."""
        return self._sides.pop(side, None)

    def find(self, side: str) -> Side | None:
        """Return a side by name, ``None`` when it is not listed."""
        return self._sides.get(side)

    def usable(self, now: float) -> Sequence[Side]:
        """Return the sides that accept requests."""
        return [
            side
            for side in self._sides.values()
            if side.serving and side.breaker.allows(now)
        ]

    def has_free_slots(self) -> bool:
        """Whether any side may have a free slot; cheaper than ``usable``."""
        return any(side.free > 0 for side in self._sides.values())

    def has_slots(self) -> bool:
        """Whether any side has slots, or has not sent a load report yet.

        Sides whose servers are unreachable have none. Requests queued for
        these would get no response until the callers give up.
        """
        return any(
            side.limit > 0 or not side.incarnation
            for side in self._sides.values()
        )

    def choose_free(
        self,
        now: float,
        affinity: int,
        excluded: Collection[str] = (),
    ) -> Side | None:
        """Choose a side that reported a free slot.

        :param now: monotonic time.
        :param affinity: hash of the prompt's prefix; 0 for no prefix.
        :param excluded: names of sides that must not be chosen.
        :return: the side with more free slots of two random ones, or the one
            that caches the prefix; ``None`` when all are full.
        """
        free = [
            side
            for side in self.usable(now)
            if side.free > 0 and side.info.side not in excluded
        ]
        if not free:
            return None
        chosen = self._rng.sample(free, min(_CHOICES, len(free)))
        best = max(chosen, key=lambda side: side.free)
        cached = self._sides.get(self._prefixes.get(affinity, ''))
        if cached in free and cached.free + _AFFINITY_BONUS >= best.free:
            return cached
        return best

    def caches_prefix(self, affinity: int, side: str) -> bool:
        """Whether a side caches a prefix, as far as known."""
        return affinity != 0 and self._prefixes.get(affinity) == side

    def record_prefix(self, affinity: int, side: str) -> None:
        """Record that a side has received a prefix."""
        if not affinity:
            return
        self._prefixes.pop(affinity, None)
        self._prefixes[affinity] = side
        if len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.pop(next(iter(self._prefixes)))

    def choose_some(self, usable: Sequence[Side], count: int) -> Sequence[Side]:
        """Choose some sides at random, those with slots if there are any.

        :param usable: sides that accept requests.
        :param count: maximum number of sides.
        """
        # A side whose server is unreachable has no slots and grants none. If
        # the bids for a workspace's first request went only to such sides, it
        # would wait until the bids are refreshed, while others are served.
        usable = [side for side in usable if side.limit] or usable
        return self._rng.sample(usable, min(count, len(usable)))

    def update(self, side: Side, load: SideLoad) -> None:
        """Apply a side's load report."""
        if side.incarnation not in {'', load.incarnation}:
            side.grants_seen = 0
        side.incarnation = load.incarnation
        side.serving = load.phase is SidePhase.SERVING
        side.free = load.free
        side.limit = load.limit
