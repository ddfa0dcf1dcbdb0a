"""Play the same seeded crowds under each order, and compare."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from sardinetrack.emulator.api import Order, Outcome
from sardinetrack.emulator.crowd import Crowd
from sardinetrack.emulator.load import Shape, draw


@dataclass(frozen=True, slots=True)
class Row:
    """One order under one rate, over all seeds."""

    order: str
    per_second: float
    outcomes: tuple[Outcome, ...]

    def part(self, name: str) -> float:
        """Tell a count of the outcomes as a part of what was asked."""
        counted = sum(getattr(one, name) for one in self.outcomes)
        return float(counted / max(1, sum(one.asked for one in self.outcomes)))

    @property
    def again_tokens(self) -> int:
        """Tokens of shared parts read, over all seeds."""
        return sum(one.again_tokens for one in self.outcomes)

    @property
    def worst_workspace(self) -> float:
        """Part served in time of the workspace that fared worst of all."""
        return min(one.worst_workspace for one in self.outcomes)

    @property
    def busiest_part(self) -> float:
        """Busiest engine to the mean, in the worst seed."""
        return max(one.busiest_part for one in self.outcomes)


def compare(
    shape: Shape,
    orders: Sequence[type[Order]],
    rates: Sequence[float],
    seeds: Sequence[int],
    seconds: float,
) -> Iterator[Row]:
    """Play each rate and seed under each order."""
    for per_second in rates:
        for order in orders:
            outcomes = tuple(
                Crowd(shape, order()).play(
                    draw(shape, per_second, seconds, seed),
                    seconds,
                )
                for seed in seeds
            )
            yield Row(order.name, per_second, outcomes)
