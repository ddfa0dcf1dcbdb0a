"""The interface of placement policies, and the outcome of a simulation."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import ClassVar

from sardinetrack.placement.choice import Candidate


class PlacementPolicy(ABC):
    """Decides in which order a request tries the servers."""

    name: ClassVar[str]
    limits_recompute_wait: ClassVar[bool] = False
    """Whether a request's maximum wait is shorter at a server that computes its
    shared prefix again."""

    @abstractmethod
    def rank(self, candidates: list[Candidate]) -> list[Candidate]:
        """Rank candidates, the best first.

        :param candidates: sorted by estimated cost.
        :return: the candidates in the order to try them.
        """


@dataclass(slots=True)
class Outcome:
    """The outcome of a simulation."""

    asked: int = 0
    in_time: int = 0
    """Requests with their first token within the objective, counted from their
    first arrival."""
    late: int = 0
    refused: int = 0
    """Requests never served: refused, and refused again at their retry."""
    refused_first: int = 0
    """Requests refused at their first arrival, whatever their retry got."""
    refused_beside_idle: int = 0
    """Of these, requests refused while an engine was idle for 0.2 s or more."""
    again_tokens: int = 0
    """Tokens of shared prefixes that were computed, each time counted."""
    busiest_part: float = 0
    """Ratio of the busiest engine's busy time to the mean of all engines."""
    asked_by: Counter[str] = field(default_factory=Counter)
    in_time_by: Counter[str] = field(default_factory=Counter)
    received_in: defaultdict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    """Service of each workspace by second, in tokens: whole prompts, and
    responses counted twice, at the time of the first token."""

    @property
    def worst_workspace(self) -> float:
        """Lowest fraction of requests in time of any workspace."""
        return min(
            (self.in_time_by[name] / asked)
            for name, asked in self.asked_by.items()
        )

    def received(self, first_second: int, seconds: int) -> Counter[str]:
        """Return what each workspace received in a window, in tokens."""
        window = range(first_second, first_second + seconds)
        return sum(
            (self.received_in.get(one, Counter()) for one in window),
            Counter(),
        )
