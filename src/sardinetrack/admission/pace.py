"""How fast an engine reads, and when it will have read what it was given."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

FIRST_RATE_TOKENS: Final = 40_000.0
"""Prompt tokens a second taken for an engine that has shown nothing yet."""
_RATE_TOKENS: Final = 60_000.0
"""Read tokens over which the rate is a mean: about a second's reading. Shorter
spans follow the length of single prompts, longer ones a slow engine late."""
_LEAST_RATE_PART: Final = 0.04
_MOST_RATE_PART: Final = 8.0
_ALONE_GAIN: Final = 0.15
"""Part of its error by which a prompt alone at the engine corrects: seven
such prompts, a second of a calm day."""
_USUAL_TOKENS: Final = 4000.0
"""Size at which lag and rate bear the same part of an error."""
_RATE_SECONDS: Final = 1.0
"""The same for an engine that has turned slow."""
_MOST_LAG_SECONDS: Final = 0.3
"""More is no lag: the engine is slow, and the rate learns that."""
OVERDUE_SECONDS: Final = 0.1
"""Lateness of a first event after which an engine is taken to stand still.

A lost packet or a late turn of a process costs less.
"""


@dataclass(frozen=True, slots=True)
class _Unread:
    tokens: int
    granted_seconds: float


class ReadingPace:
    """Learns from grants and first events; reads no clock.

    The first event of an answer comes a good while after its prompt is read:
    the engine prepares the answer, and the event travels. An engine that is
    known only by first events therefore looks busy for that long after it has
    run dry. Reading time and this lag are told apart by what each request
    met: behind another prompt it took its reading time from that one's end,
    at an engine with nothing to read its reading time and the lag.
    """

    def __init__(self) -> None:
        """Start with a guess."""
        self.lag_seconds = float(0)
        self._unread: dict[str, _Unread] = {}
        self._unread_tokens = 0
        self._free_at_seconds = -math.inf
        self._last_begun_seconds = -math.inf
        self._seconds = _RATE_TOKENS / 2 / FIRST_RATE_TOKENS
        self._tokens = _RATE_TOKENS / 2

    @property
    def rate_tokens(self) -> float:
        """Prompt tokens read a second."""
        rate = self._tokens / self._seconds
        least = _LEAST_RATE_PART * FIRST_RATE_TOKENS
        return min(max(rate, least), _MOST_RATE_PART * FIRST_RATE_TOKENS)

    def backlog_seconds(self, now: float) -> float:
        """Tell how long the engine still reads what it was given.

        One that has stood still since its last first event would else be
        given more and more, by a clock that runs on without it.
        """
        left_seconds = max(0, self._free_at_seconds - now)
        if not self._stands_still(now):
            return left_seconds
        return max(left_seconds, self._unread_tokens / self.rate_tokens)

    def first_event_seconds(self, now: float, tokens: int) -> float:
        """Tell how long a prompt's first event would take if granted now."""
        reading_seconds = tokens / self.rate_tokens
        return self.backlog_seconds(now) + reading_seconds + self.lag_seconds

    def granted(self, now: float, name: str, tokens: int) -> None:
        """Note a prompt on its way to the engine."""
        self._unread[name] = _Unread(tokens, now)
        self._unread_tokens += tokens
        begins_seconds = max(now, self._free_at_seconds)
        self._free_at_seconds = begins_seconds + tokens / self.rate_tokens

    def begun(self, now: float, name: str) -> None:
        """Note a first event."""
        unread = self._drop(name)
        if unread is None:
            return
        self._learn(now, unread)
        self._last_begun_seconds = now
        self._settle(now - self.lag_seconds)

    def ended(self, now: float, name: str) -> None:
        """Note that a prompt will not be read, or that its first event was."""
        unread = self._drop(name)
        if unread is None:
            return
        self._free_at_seconds -= unread.tokens / self.rate_tokens
        if not self._unread:
            self._free_at_seconds = min(now, self._free_at_seconds)

    def _stands_still(self, now: float) -> bool:
        if not self._unread:
            return False
        oldest = self._unread[next(iter(self._unread))]
        since = max(oldest.granted_seconds, self._last_begun_seconds)
        reading_seconds = oldest.tokens / self.rate_tokens
        due = since + reading_seconds + self.lag_seconds + OVERDUE_SECONDS
        return now > due

    def _drop(self, name: str) -> _Unread | None:
        unread = self._unread.pop(name, None)
        if unread is not None:
            self._unread_tokens -= unread.tokens
        return unread

    def _settle(self, read_at_seconds: float) -> None:
        """Reckon anew from the moment at which a prompt was surely read."""
        rate = self.rate_tokens
        free_at = read_at_seconds + self._unread_tokens / rate
        if self._unread:
            newest = self._unread[next(reversed(self._unread))]
            after_grant = newest.granted_seconds + newest.tokens / rate
            free_at = max(free_at, after_grant)
        self._free_at_seconds = free_at

    def _learn(self, now: float, unread: _Unread) -> None:
        read_before = self._last_begun_seconds - self.lag_seconds
        if unread.granted_seconds <= read_before:
            self._learn_rate(now - self._last_begun_seconds, unread.tokens)
        else:
            self._learn_alone(now - unread.granted_seconds, unread.tokens)

    def _learn_rate(self, seconds: float, tokens: int) -> None:
        """Take a mean over tokens and over seconds, not over rates.

        Two prompts that are read in one step begin together, as if the
        second had taken no time; a mean of rates would follow such a pair.
        """
        span = max(tokens / _RATE_TOKENS, seconds / _RATE_SECONDS)
        kept = math.exp(-span)
        self._seconds = self._seconds * kept + max(0, seconds)
        self._tokens = self._tokens * kept + tokens

    def _learn_alone(self, seconds: float, tokens: int) -> None:
        """Take what a prompt met that had the engine for itself.

        Its error is shared out between lag and rate by its size: prompts of
        different sizes tell the two apart. Where it is far too late, the
        engine has turned slow.
        """
        error = seconds - self.lag_seconds - tokens / self.rate_tokens
        if error > OVERDUE_SECONDS:
            self._learn_rate(seconds - self.lag_seconds, tokens)
            return
        size = tokens / _USUAL_TOKENS
        step = _ALONE_GAIN * error / (1 + size * size)
        lag_seconds = self.lag_seconds + step
        self.lag_seconds = min(max(0, lag_seconds), _MOST_LAG_SECONDS)
        slowness = 1 / self.rate_tokens + step * size / _USUAL_TOKENS
        least = 1 / (_MOST_RATE_PART * FIRST_RATE_TOKENS)
        self._seconds = self._tokens * max(least, slowness)
