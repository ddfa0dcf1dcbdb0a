"""Remembers to which parts of prompts engines have responded lately."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

MAX_PARTS: Final = 8192
"""About 1 MB; an entry that gets 10 new parts a second holds 13 minutes."""


class AnsweredParts:
    """Time of the last response by part; the oldest are dropped."""

    def __init__(self) -> None:
        """Start without parts."""
        self._seconds: dict[str, float] = {}

    def __len__(self) -> int:
        """Count the parts."""
        return len(self._seconds)

    def add(self, now: float, parts: Iterable[str]) -> None:
        """Record that an engine has begun to respond to a prompt."""
        for part in parts:
            self._seconds.pop(part, None)
            self._seconds[part] = now
        while len(self._seconds) > MAX_PARTS:
            self._seconds.pop(next(iter(self._seconds)))

    def last_seconds(self, part: str) -> float | None:
        """Return when an engine last began to respond to a part."""
        return self._seconds.get(part)
