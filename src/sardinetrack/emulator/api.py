"""Abstract order of servers, and what a play has shown."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass, field
from typing import ClassVar

from sardinetrack.placement.choice import Candidate


class Order(ABC):
    """Which server a request asks first, and which next."""

    name: ClassVar[str]
    guests_hurry: ClassVar[bool] = False
    """Whether a server that reads a shared part again gets no patience."""

    @abstractmethod
    def sort(self, found: list[Candidate]) -> list[Candidate]:
        """Order candidates, the best first.

        :param found: in the order of what they would cost.
        """


@dataclass(slots=True)
class Outcome:
    """What became of a crowd."""

    asked: int = 0
    in_time: int = 0
    """First token within the objective, counted from the first attempt."""
    late: int = 0
    refused: int = 0
    """Never served: refused, and again when they came back as told."""
    refused_first: int = 0
    """Refused when they came, whatever became of them."""
    refused_beside_idle: int = 0
    """Of these, while an engine was idle for 0.2 s and more."""
    again_tokens: int = 0
    """Of shared parts that were read, each reading counted."""
    busiest_part: float = 0
    """Busy time of the busiest engine to the mean of all."""
    asked_by: Counter[str] = field(default_factory=Counter)
    in_time_by: Counter[str] = field(default_factory=Counter)

    @property
    def worst_workspace(self) -> float:
        """Part served in time of the workspace that fared worst."""
        return min(
            (self.in_time_by[name] / asked)
            for name, asked in self.asked_by.items()
        )
