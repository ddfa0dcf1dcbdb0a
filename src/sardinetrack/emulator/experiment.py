"""Run the same seeded load under each placement policy, and compare."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from sardinetrack.emulator.api import Outcome, PlacementPolicy
from sardinetrack.emulator.load import LoadProfile, draw_requests
from sardinetrack.emulator.simulation import Simulation


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """The outcomes of one policy at one rate, over all seeds."""

    policy: str
    requests_per_second: float
    outcomes: tuple[Outcome, ...]

    def outcome_fraction(self, name: str) -> float:
        """Return a count of the outcomes as a fraction of all requests.

        :param name: a field of ``Outcome``.
        """
        counted = sum(getattr(one, name) for one in self.outcomes)
        return float(counted / max(1, sum(one.asked for one in self.outcomes)))

    @property
    def recomputed_prefix_tokens(self) -> int:
        """Tokens of shared prefixes computed, over all seeds."""
        return sum(one.again_tokens for one in self.outcomes)

    @property
    def worst_workspace(self) -> float:
        """Lowest fraction of requests in time of any workspace and seed."""
        return min(one.worst_workspace for one in self.outcomes)

    @property
    def busiest_engine_ratio(self) -> float:
        """Highest ratio of the busiest engine to the mean, over all seeds."""
        return max(one.busiest_part for one in self.outcomes)


def compare_policies(
    shape: LoadProfile,
    policies: Sequence[type[PlacementPolicy]],
    rates: Sequence[float],
    seeds: Sequence[int],
    seconds: float,
) -> Iterator[ExperimentResult]:
    """Simulate each rate and seed under each policy.

    :param shape: deployment and load.
    :param policies: the policies to compare.
    :param rates: requests a second.
    :param seeds: one simulation each.
    :param seconds: length of the load.
    """
    for per_second in rates:
        for policy in policies:
            outcomes = tuple(
                Simulation(shape, policy()).run_load(
                    draw_requests(shape, per_second, seconds, seed),
                    seconds,
                )
                for seed in seeds
            )
            yield ExperimentResult(policy.name, per_second, outcomes)
