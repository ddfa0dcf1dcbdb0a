"""Estimates the cost of a request before it has run."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from sardinetrack.catalogue.api import PoolClass

_NEW_SAMPLE_FRACTION: Final = 0.1
_INITIAL_ESTIMATE: Final = MappingProxyType(
    {PoolClass.MODEL: 200.0, PoolClass.SERVICE: 0.1},
)
_MIN_COST: Final = 0.001
_MAX_MEANS: Final = 20_000


@dataclass(frozen=True, slots=True)
class CostKey:
    """The workspace and pool that a mean is computed for."""

    workspace: str
    pool: str


class CostEstimates:
    """Moving averages of the cost of requests per workspace and pool."""

    def __init__(self) -> None:
        self._means: dict[CostKey, float] = {}

    def estimate(self, key: CostKey, pool_class: PoolClass) -> float:
        """Estimate the cost of the next request.

        :param key: workspace and pool.
        :param pool_class: selects the initial estimate when there is no mean
            yet.
        :return: cost units: generated tokens or run seconds.
        """
        return self._means.get(key, _INITIAL_ESTIMATE[pool_class])

    def update(self, key: CostKey, cost: float) -> None:
        """Add the cost of a request that completed to the mean."""
        sample = max(cost, _MIN_COST)
        mean = self._means.pop(key, sample)
        self._means[key] = mean + _NEW_SAMPLE_FRACTION * (sample - mean)
        if len(self._means) > _MAX_MEANS:
            self._means.pop(next(iter(self._means)))
