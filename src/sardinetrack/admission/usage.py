"""How an engine's time is used, as its admission sees it; reads no clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class EngineUse(StrEnum):
    """What an engine does at a moment."""

    IDLE = 'idle'
    """Nothing runs there."""
    ANSWERING = 'answering'
    """It only writes answers; it could read more, and nothing waits."""
    READING = 'reading'
    """It reads a prompt, and nothing waits."""
    FULL = 'full'
    """It reads a prompt, and others wait."""
    HELD_SLOTS = 'held_slots'
    """It reads nothing though others wait: no slot is free."""
    HELD_COLD = 'held_cold'
    """It reads nothing though others wait: it is cold, and bears no more."""
    HELD_MEMORY = 'held_memory'
    """It reads nothing though others wait: the next does not fit."""


def _no_time() -> defaultdict[EngineUse, float]:
    return defaultdict(float)


@dataclass(slots=True)
class Usage:
    """Time by use, and what was granted and refused, since the last report."""

    seconds: defaultdict[EngineUse, float] = field(
        default_factory=_no_time,
    )
    granted: int = 0
    granted_tokens: int = 0
    """Prompt tokens to be read."""
    refused_at_once: int = 0
    refused_late: int = 0
    """Refused after they had waited."""
    begun: int = 0
    begin_seconds: float = 0
    """From the grant to the first event, summed."""
    expected_seconds: float = 0
    """The same as it was expected at the grant."""
    _use: EngineUse = EngineUse.IDLE
    _since_seconds: float | None = None

    def note(self, now: float, use: EngineUse) -> None:
        """Count the time since the last note for what the engine did then."""
        if self._since_seconds is not None:
            self.seconds[self._use] += now - self._since_seconds
        self._use = use
        self._since_seconds = now

    def note_grant(self, tokens: int) -> None:
        """Count a granted turn."""
        self.granted += 1
        self.granted_tokens += tokens

    def note_refusal(self, waited_seconds: float) -> None:
        """Count a refused turn."""
        if waited_seconds > 0:
            self.refused_late += 1
        else:
            self.refused_at_once += 1

    def note_begun(self, took_seconds: float, expected_seconds: float) -> None:
        """Count the first event of a request."""
        self.begun += 1
        self.begin_seconds += took_seconds
        self.expected_seconds += expected_seconds

    def next_report(self, now: float) -> Usage:
        """Begin the next span."""
        self.note(now, self._use)
        return Usage(_use=self._use, _since_seconds=now)
