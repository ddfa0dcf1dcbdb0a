"""Interface of the random number generator used by routing."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

_Item = TypeVar('_Item')


class RandomSource(Protocol):
    """The part of ``random.Random`` that routing uses."""

    def sample(self, items: Sequence[_Item], count: int, /) -> list[_Item]:
        """Return ``count`` distinct items, chosen at random."""
