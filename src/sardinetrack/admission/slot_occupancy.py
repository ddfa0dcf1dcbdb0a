"""How long requests occupy a slot of an engine."""

from __future__ import annotations

from typing import Final

_GAIN: Final = 0.1
"""Weight of the latest in the mean: it follows within ten responses."""


class SlotOccupancy:
    """Averages over requests that have ended; reads no clock."""

    def __init__(self) -> None:
        """Start without samples."""
        self.seconds = float(0)
        """Mean time between a grant and its end; 0 until one has ended."""

    def ended(self, held_seconds: float) -> None:
        """Record a response that has ended.

        :param held_seconds: since its grant.
        """
        if self.seconds:
            self.seconds += _GAIN * (held_seconds - self.seconds)
        else:
            self.seconds = held_seconds
