"""Learned costs: what a request is likely to cost before it has run."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from sardinetrack.catalogue.api import PoolClass

_NEW_PART: Final = 0.1
_FIRST_GUESS: Final = MappingProxyType(
    {PoolClass.MODEL: 200.0, PoolClass.SERVICE: 0.1},
)
_LEAST_COST: Final = 0.001
_MOST_KEPT: Final = 20_000


@dataclass(frozen=True, slots=True)
class CostKey:
    """What a mean is kept for."""

    workspace: str
    pool: str


class LearnedCosts:
    """Moving means of the cost per workspace and pool."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._means: dict[CostKey, float] = {}

    def expected(self, key: CostKey, pool_class: PoolClass) -> float:
        """Guess the cost of the next request.

        :param key: workspace and pool.
        :param pool_class: chooses the guess when nothing was seen.
        :return: cost units: generated tokens or run seconds.
        """
        return self._means.get(key, _FIRST_GUESS[pool_class])

    def learn(self, key: CostKey, cost: float) -> None:
        """Take in the cost of a request that ended whole."""
        seen = max(cost, _LEAST_COST)
        known = self._means.pop(key, seen)
        self._means[key] = known + _NEW_PART * (seen - known)
        if len(self._means) > _MOST_KEPT:
            self._means.pop(next(iter(self._means)))
