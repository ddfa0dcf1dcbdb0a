"""Limit on the responses that an engine decodes concurrently; no clock."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

MAX_SLOTS_FRACTION: Final = 0.97
"""Fraction of the slots used at most; health checks need a slot too."""
MIN_SLOTS_FRACTION: Final = 0.5
"""Fraction used at any decoding pace: below it more requests would be refused
than the faster pace saves."""
_MAX_UNFINISHED_FRACTION: Final = 0.02
"""Fraction of the requested responses that may be too long for the pace."""
_SAMPLES: Final = 200
"""Requested responses from which that fraction is estimated: some seconds of a
busy engine."""
_MIN_SAMPLES: Final = 20
_MIN_SAMPLE_TOKENS: Final = 40
"""Shorter responses measure the delay of their first event, not the pace."""
_GAIN: Final = 0.1
_STEP: Final = 0.06
"""Fraction by which the limit changes in one step."""
_STEP_SECONDS: Final = 0.5


class BatchLimit:
    """Limits concurrent responses so that they end before their deadlines.

    An engine decodes all of them at one pace, which gets slower the more there
    are and the more it prefills beside them. In a full batch the longest
    responses reach their callers' deadlines unfinished: they have occupied a
    slot for longest, and their callers have waited for nothing. With fewer
    concurrent responses each is decoded faster, and as many complete.
    """

    def __init__(self) -> None:
        self.part = MAX_SLOTS_FRACTION
        self._log_pace: float | None = None
        self._required_paces: deque[float] = deque(maxlen=_SAMPLES)
        self._changed_seconds = -math.inf

    @property
    def token_seconds(self) -> float:
        """Recent mean time to decode one token; 0 before the first sample."""
        return 0 if self._log_pace is None else math.exp(self._log_pace)

    def limit(self, slots: int) -> int:
        """Return how many requests may run concurrently."""
        return max(1, math.ceil(slots * self.part))

    def requested(self, now: float, tokens: float, left_seconds: float) -> None:
        """Record a requested response, and adjust the limit if that is due.

        :param tokens: its estimated length.
        :param left_seconds: until its caller's deadline.
        """
        self._required_paces.append(left_seconds / max(1, tokens))
        if now - self._changed_seconds >= _STEP_SECONDS:
            self._changed_seconds = now
            self._adjust()

    def completed(self, seconds: float, tokens: float) -> None:
        """Update the decoding pace from a complete response.

        Estimated lengths are often far off, by as much either way; the mean of
        the logarithms is right all the same.

        :param seconds: from its first event to its end.
        :param tokens: its estimated length.
        """
        if tokens < _MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        log_pace = math.log(seconds / tokens)
        if self._log_pace is None:
            self._log_pace = log_pace
        self._log_pace += _GAIN * (log_pace - self._log_pace)

    def _adjust(self) -> None:
        if len(self._required_paces) < _MIN_SAMPLES:
            return
        unfinished = sum(
            pace < self.token_seconds for pace in self._required_paces
        )
        too_slow = unfinished > _MAX_UNFINISHED_FRACTION * len(
            self._required_paces
        )
        step = -_STEP if too_slow else _STEP
        fraction = self.part * (1 + step)
        self.part = min(MAX_SLOTS_FRACTION, max(MIN_SLOTS_FRACTION, fraction))
