"""What an entry believes of the sides of one pool."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.messages.api import SideLoad, SidePhase
from sardinetrack.routing.api import SideInfo
from sardinetrack.routing.breaker import Breaker
from sardinetrack.routing.chance import Chance

_AFFINITY_BONUS: Final = 2
"""Free slots by which a side that holds the prefix may be behind."""
_MAX_PREFIXES: Final = 4096
_CHOICES: Final = 2


@dataclass(slots=True)
class Side:
    """One side with its breaker."""

    info: SideInfo
    breaker: Breaker = field(default_factory=Breaker)
    incarnation: str = ''
    serving: bool = True
    free: int = 0
    limit: int = 0
    grants_seen: int = 0
    bid_seconds: float = float('-inf')


class SideTable:
    """Chooses sides for direct sends and for bids."""

    def __init__(self, random: Chance) -> None:
        """Start empty.

        :param random: source of all choices.
        """
        self._random = random
        self._sides: dict[str, Side] = {}
        self._prefixes: dict[int, str] = {}

    def __len__(self) -> int:
        """Count the sides."""
        return len(self._sides)

    def up(self, info: SideInfo, breaker: Breaker) -> None:
        """Use a side from now on."""
        self._sides[info.side] = Side(info, breaker)

    def down(self, side: str) -> Side | None:
        """Use a side no longer."""
        return self._sides.pop(side, None)

    def find(self, side: str) -> Side | None:
        """Find a side by name."""
        return self._sides.get(side)

    def usable(self, now: float) -> Sequence[Side]:
        """List the sides that take work."""
        return [
            side
            for side in self._sides.values()
            if side.serving and side.breaker.allows(now)
        ]

    def some_free(self) -> bool:
        """Whether any side may have a free slot; cheap to ask."""
        return any(side.free > 0 for side in self._sides.values())

    def some_slots(self) -> bool:
        """Whether any side has slots, or has not told yet.

        Sides whose servers are gone have none. Work that waited for these
        would get no answer until its caller's patience ends.
        """
        return any(
            side.limit > 0 or not side.incarnation
            for side in self._sides.values()
        )

    def free(
        self,
        now: float,
        affinity: int,
        closed: Collection[str] = (),
    ) -> Side | None:
        """Choose a side believed to have a free slot.

        :param now: monotonic time.
        :param affinity: hash of the prompt's prefix; 0 for none.
        :param closed: sides that nothing may go to now.
        :return: the better of two random ones, ``None`` when all are full.
        """
        free = [
            side
            for side in self.usable(now)
            if side.free > 0 and side.info.side not in closed
        ]
        if not free:
            return None
        chosen = self._random.sample(free, min(_CHOICES, len(free)))
        best = max(chosen, key=lambda side: side.free)
        warm = self._sides.get(self._prefixes.get(affinity, ''))
        if warm in free and warm.free + _AFFINITY_BONUS >= best.free:
            return warm
        return best

    def warm(self, affinity: int, side: str) -> bool:
        """Whether a side holds a prefix, as far as known."""
        return affinity != 0 and self._prefixes.get(affinity) == side

    def remember(self, affinity: int, side: str) -> None:
        """Note that a side has seen a prefix."""
        if not affinity:
            return
        self._prefixes.pop(affinity, None)
        self._prefixes[affinity] = side
        if len(self._prefixes) > _MAX_PREFIXES:
            self._prefixes.pop(next(iter(self._prefixes)))

    def some_of(self, usable: Sequence[Side], count: int) -> Sequence[Side]:
        """Choose some sides at random, those with slots if there are any.

        :param usable: sides that take work.
        :param count: how many at most.
        """
        # A side whose server is gone has no slots and grants none: were both
        # that hear of a workspace's first request such, nobody would serve it
        # until the bids are refreshed, while others are served.
        usable = [side for side in usable if side.limit] or usable
        return self._random.sample(usable, min(count, len(usable)))

    def learn(self, side: Side, load: SideLoad) -> None:
        """Take over a side's word about itself."""
        if side.incarnation not in {'', load.incarnation}:
            side.grants_seen = 0
        side.incarnation = load.incarnation
        side.serving = load.phase is SidePhase.SERVING
        side.free = load.free
        side.limit = load.limit
