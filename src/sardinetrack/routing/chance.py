"""The source of random choices that callers pass in."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

_Item = TypeVar('_Item')


class Chance(Protocol):
    """What the decisions use of ``random.Random``."""

    def sample(self, items: Sequence[_Item], count: int, /) -> list[_Item]:
        """Choose different items."""
