"""The product's order of servers, and naive ones to compare it with."""

from __future__ import annotations

from operator import attrgetter
from random import Random
from typing import Final

from sardinetrack.emulator.api import Order
from sardinetrack.placement.choice import Candidate

_SEED: Final = 1


class HomeOrder(Order):
    """The product's own: by what the request would cost at each server."""

    name = 'home'
    guests_hurry = True

    def sort(self, found: list[Candidate]) -> list[Candidate]:
        """Keep the order."""
        return found


class LeastLoadedOrder(Order):
    """The shortest wait first, without regard to prompts."""

    name = 'least loaded'

    def sort(self, found: list[Candidate]) -> list[Candidate]:
        """Order by the wait alone."""
        return sorted(found, key=attrgetter('wait_seconds'))


class RandomOrder(Order):
    """Any server."""

    name = 'random'

    def __init__(self) -> None:
        """Draw the same orders each time."""
        self._chance = Random(_SEED)

    def sort(self, found: list[Candidate]) -> list[Candidate]:
        """Shuffle."""
        return self._chance.sample(found, len(found))


OrderTypes = tuple[type[Order], ...]
ORDERS: Final[OrderTypes] = (
    HomeOrder,
    LeastLoadedOrder,
    RandomOrder,
)
