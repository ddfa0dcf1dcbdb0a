"""The product's placement policy, and naive ones to compare it with."""

from __future__ import annotations

from operator import attrgetter
from random import Random
from typing import Final

from sardinetrack.emulator.api import PlacementPolicy
from sardinetrack.placement.choice import Candidate

_SEED: Final = 1


class HomeServerPolicy(PlacementPolicy):
    """The product's own policy: by the request's estimated cost."""

    name = 'home'
    limits_recompute_wait = True

    def rank(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates unchanged."""
        return candidates


class LeastLoadedPolicy(PlacementPolicy):
    """The shortest wait first, without regard to cached prefixes."""

    name = 'least loaded'

    def rank(self, candidates: list[Candidate]) -> list[Candidate]:
        """Sort by the wait alone."""
        return sorted(candidates, key=attrgetter('wait_seconds'))


class RandomPolicy(PlacementPolicy):
    """Random order."""

    name = 'random'

    def __init__(self) -> None:
        """Seed the random number generator, for the same order each time."""
        self._rng = Random(_SEED)

    def rank(self, candidates: list[Candidate]) -> list[Candidate]:
        """Shuffle the candidates."""
        return self._rng.sample(candidates, len(candidates))


PolicyTypes = tuple[type[PlacementPolicy], ...]
PLACEMENT_POLICIES: Final[PolicyTypes] = (
    HomeServerPolicy,
    LeastLoadedPolicy,
    RandomPolicy,
)
