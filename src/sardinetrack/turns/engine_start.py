"""Which start of its engine a side knows, as the entries tell it."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import replace
from enum import Enum, auto
from typing import Final

from sardinetrack.topology.cold import Cold, ColdWord
from sardinetrack.topology.starts import UNKNOWN_MARK, ServerStart
from sardinetrack.turns.messages import ServerStarted, message_of, start_of

_SECOND: Final = 1.0
_MOST_GRANTS: Final = 1000


class Heard(Enum):
    """What an entry's word was to the side."""

    BEHIND = auto()
    """The entry knows of a former start only."""
    KNOWN = auto()
    RENEWED = auto()
    """The engine has started anew."""


class EngineStart:
    """The start that runs, how long it is cold, and how starts follow."""

    def __init__(self) -> None:
        """Know nothing."""
        self.start: ServerStart | None = None
        self.in_a_row = 0
        """Starts of which each ended before the engine was warm."""
        self._word = ColdWord()
        self._granted: deque[float] = deque(maxlen=_MOST_GRANTS)

    @property
    def mark(self) -> int:
        """Name the start in few bytes."""
        return UNKNOWN_MARK if self.start is None else self.start.mark

    @property
    def cold(self) -> Cold:
        """Tell how long the engine stays cold."""
        return self._word.cold

    def message(self, now: float) -> ServerStarted:
        """Write down what is known.

        :raises ValueError: nothing is known yet.
        """
        if self.start is None:
            raise ValueError('no start is known')
        return message_of(self.start, now, self._word)

    def hear(self, now: float, message: ServerStarted) -> Heard:
        """Take an entry's word."""
        told, held = start_of(message), self.start
        if held is not None and told.older_than(held):
            return Heard.BEHIND if held.supersedes(told) else Heard.KNOWN
        renewed = held is not None and told.supersedes(held)
        if renewed:
            self._count_start(now)
            self._word = replace(self._word, presumed_until_seconds=-math.inf)
        newer = held is None or told.revision != held.revision
        self._take_cold(now, message, newer=newer or renewed)
        self.start = told
        return Heard.RENEWED if renewed else Heard.KNOWN

    def granted(self, now: float) -> None:
        """Note a turn."""
        self._granted.append(now)

    @property
    def granted_last_second(self) -> int:
        """Count the turns of the second that ended with the last one."""
        if not self._granted:
            return 0
        since_seconds = self._granted[-1] - _SECOND
        return sum(at > since_seconds for at in self._granted)

    def _count_start(self, now: float) -> None:
        """Count starts of which no one lived until it was warm.

        What ends a start is found seconds later; the turns tell when.
        """
        last_seconds = self._granted[-1] if self._granted else now
        ended_cold = last_seconds < self.cold.until_seconds
        self.in_a_row = self.in_a_row + 1 if ended_cold else 1

    def _take_cold(
        self,
        now: float,
        message: ServerStarted,
        *,
        newer: bool,
    ) -> None:
        """Take how long the engine stays cold.

        Of one entry in the list who has read it first is nearest to the
        truth. What is presumed was seen by each at its own time; the latest
        counts.
        """
        told_until = now + message.cold_seconds
        if not newer or not message.cold_seconds:
            told_until = min(told_until, self._word.told_until_seconds)
        presumed_until = now + message.presumed_cold_seconds
        if not message.presumed_cold_seconds:
            presumed_until = -math.inf
        self._word = ColdWord(
            told_until,
            max(presumed_until, self._word.presumed_until_seconds),
            message.cold_per_second,
        )
