"""How many answers an engine writes at once; reads no clock."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

SLOTS_PART: Final = 0.97
"""Part of the slots that is used at the most; health checks need one too."""
LEAST_PART: Final = 0.5
"""Part that is used whatever the pace: below it more answers would be refused
than a faster pace saves."""
_MOST_CUT: Final = 0.02
"""Part of the answers asked for that may be too long for the pace."""
_LATEST: Final = 200
"""Asked answers from which that part is told: some seconds of a busy engine."""
_LEAST_ASKED: Final = 20
_LEAST_TOKENS: Final = 40
"""Shorter answers tell the way of their first event rather than the pace."""
_GAIN: Final = 0.1
_STEP: Final = 0.06
"""Part by which the bound moves at once."""
_STEP_SECONDS: Final = 0.5


class BatchBound:
    """Bounds the answers that run at once by the time that they have.

    An engine writes all of them at one pace, the slower the more there are and
    the more it reads beside them. In a full batch the longest answers reach
    their callers' deadlines unfinished: they have held a slot for as long as
    anybody, and their callers have waited for nothing. With fewer at once each
    is written faster, and as many end.
    """

    def __init__(self) -> None:
        """Start with no bound but the slots."""
        self.part = SLOTS_PART
        self._log_pace: float | None = None
        self._paces: deque[float] = deque(maxlen=_LATEST)
        self._moved_seconds = -math.inf

    @property
    def token_seconds(self) -> float:
        """Time to write one token, as seen lately; 0 before any was."""
        return 0 if self._log_pace is None else math.exp(self._log_pace)

    def most(self, slots: int) -> int:
        """Tell how many may run at once."""
        return max(1, math.ceil(slots * self.part))

    def asked(self, now: float, tokens: float, left_seconds: float) -> None:
        """Note an answer that is asked for.

        :param tokens: its length as told.
        :param left_seconds: until its caller's deadline.
        """
        self._paces.append(left_seconds / max(1, tokens))
        if now - self._moved_seconds >= _STEP_SECONDS:
            self._moved_seconds = now
            self._move()

    def wrote(self, seconds: float, tokens: float) -> None:
        """Learn from an answer that is whole.

        Told lengths are often far off, by as much either way; the mean of the
        logarithms is right all the same.

        :param seconds: from its first event to its end.
        """
        if tokens < _LEAST_TOKENS or seconds <= 0:
            return
        log_pace = math.log(seconds / tokens)
        if self._log_pace is None:
            self._log_pace = log_pace
        self._log_pace += _GAIN * (log_pace - self._log_pace)

    def _move(self) -> None:
        if len(self._paces) < _LEAST_ASKED:
            return
        cut = sum(pace < self.token_seconds for pace in self._paces)
        slower = cut > _MOST_CUT * len(self._paces)
        step = -_STEP if slower else _STEP
        part = self.part * (1 + step)
        self.part = min(SLOTS_PART, max(LEAST_PART, part))
