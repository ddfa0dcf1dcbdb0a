"""How fast an engine prefills, and when it will have done what was granted."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

INITIAL_RATE_TOKENS: Final = 40_000.0
"""Prompt tokens a second assumed for an engine without measurements."""
_RATE_TOKENS: Final = 60_000.0
"""Prefilled tokens over which the rate is averaged: about a second's work.
Shorter spans follow the length of single prompts, longer ones notice a slow
engine late."""
_MIN_RATE_FACTOR: Final = 0.04
_MAX_RATE_FACTOR: Final = 8.0
_ALONE_GAIN: Final = 0.15
"""Fraction of its error by which a prompt alone at the engine corrects: about
seven such prompts, a second of light load."""
_USUAL_TOKENS: Final = 4000.0
"""Prompt size at which an error is divided equally between lag and rate."""
_RATE_SECONDS: Final = 1.0
"""Span over which the rate of an engine that has slowed down is averaged."""
_MAX_LAG_SECONDS: Final = 0.3
"""More is not lag: the engine is slow, and the rate is corrected instead."""
OVERDUE_SECONDS: Final = 0.1
"""Lateness of a first event after which an engine counts as stalled.

A lost packet or a delayed iteration of an event loop costs less.
"""


@dataclass(frozen=True, slots=True)
class _PendingPrompt:
    tokens: int
    granted_seconds: float


class PrefillEstimator:
    """Estimates rate, lag and backlog of an engine; reads no clock.

    It observes grants and first events. The first event of a response comes a
    good while after its prompt is prefilled: the engine prepares the response,
    and the event travels. An engine that is known only by first events
    therefore looks busy for that long after it has run out of work. Prefill
    time and this lag are told apart by the state of the engine at the grant:
    behind another prompt the first event comes a prefill time after that
    prompt's, at an idle engine a prefill time and the lag after the grant.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget everything: the engine has restarted."""
        self.lag_seconds = float(0)
        self.max_rate_tokens = math.inf
        """Limit of the rate, where it is known from elsewhere."""
        self._pending: dict[str, _PendingPrompt] = {}
        self._pending_tokens = 0
        self._free_at_seconds = -math.inf
        self._last_first_event_seconds = -math.inf
        self._seconds = _RATE_TOKENS / 2 / INITIAL_RATE_TOKENS
        self._tokens = _RATE_TOKENS / 2

    @property
    def rate_tokens(self) -> float:
        """Prompt tokens prefilled a second."""
        rate = min(self._tokens / self._seconds, self.max_rate_tokens)
        minimum = _MIN_RATE_FACTOR * INITIAL_RATE_TOKENS
        return min(max(rate, minimum), _MAX_RATE_FACTOR * INITIAL_RATE_TOKENS)

    def backlog_seconds(self, now: float) -> float:
        """Estimate how long the engine still prefills what was granted.

        By the clock alone, an engine that has stalled since its last first
        event would look free again and be granted more and more.
        """
        left_seconds = max(0, self._free_at_seconds - now)
        if not self._is_stalled(now):
            return left_seconds
        return max(left_seconds, self._pending_tokens / self.rate_tokens)

    def prefilled_at_seconds(self, now: float) -> float:
        """Estimate when all that was granted is prefilled, or was."""
        if self._is_stalled(now):
            return now + self.backlog_seconds(now)
        return self._free_at_seconds

    @property
    def is_pending(self) -> bool:
        """Whether a granted prompt has had no first event yet."""
        return bool(self._pending)

    @property
    def last_first_event_seconds(self) -> float:
        """When the last first event came, on the monotonic clock."""
        return self._last_first_event_seconds

    def first_event_seconds(self, now: float, tokens: int) -> float:
        """Estimate the time to a prompt's first event if granted now."""
        prefill_seconds = tokens / self.rate_tokens
        return self.backlog_seconds(now) + prefill_seconds + self.lag_seconds

    def granted(self, now: float, name: str, tokens: int) -> None:
        """Add a prompt that goes to the engine.

        A stream that continues from a copy of its KV cache has nothing to
        prefill, and its first event comes only after the copy; measured, it
        would make the engine look slow.
        """
        if not tokens:
            return
        self._pending[name] = _PendingPrompt(tokens, now)
        self._pending_tokens += tokens
        begins_seconds = max(now, self._free_at_seconds)
        self._free_at_seconds = begins_seconds + tokens / self.rate_tokens

    def first_event(self, now: float, name: str) -> None:
        """Update the estimates from a first event."""
        prompt = self._drop(name)
        if prompt is None:
            return
        self._update(now, prompt)
        self._last_first_event_seconds = now
        self._resync(now - self.lag_seconds)

    def ended(self, now: float, name: str) -> None:
        """Drop a prompt that will not be prefilled; ignore others."""
        prompt = self._drop(name)
        if prompt is None:
            return
        self._free_at_seconds -= prompt.tokens / self.rate_tokens
        if not self._pending:
            self._free_at_seconds = min(now, self._free_at_seconds)

    def _is_stalled(self, now: float) -> bool:
        if not self._pending:
            return False
        oldest = self._pending[next(iter(self._pending))]
        since = max(oldest.granted_seconds, self._last_first_event_seconds)
        prefill_seconds = oldest.tokens / self.rate_tokens
        due = since + prefill_seconds + self.lag_seconds + OVERDUE_SECONDS
        return now > due

    def _drop(self, name: str) -> _PendingPrompt | None:
        prompt = self._pending.pop(name, None)
        if prompt is not None:
            self._pending_tokens -= prompt.tokens
        return prompt

    def _resync(self, prefilled_at_seconds: float) -> None:
        """Estimate the backlog again from the end of a confirmed prefill."""
        rate = self.rate_tokens
        free_at = prefilled_at_seconds + self._pending_tokens / rate
        if self._pending:
            newest = self._pending[next(reversed(self._pending))]
            after_grant = newest.granted_seconds + newest.tokens / rate
            free_at = max(free_at, after_grant)
        self._free_at_seconds = free_at

    def _update(self, now: float, prompt: _PendingPrompt) -> None:
        prefilled_before = self._last_first_event_seconds - self.lag_seconds
        if prompt.granted_seconds <= prefilled_before:
            self._update_rate(
                now - self._last_first_event_seconds, prompt.tokens
            )
        else:
            self._update_alone(now - prompt.granted_seconds, prompt.tokens)

    def _update_rate(self, seconds: float, tokens: int) -> None:
        """Average over tokens and over seconds, not over rates.

        Two prompts that are prefilled in one step have their first events
        together, as if the second had taken no time; a mean of rates would
        follow such a pair.
        """
        span = max(tokens / _RATE_TOKENS, seconds / _RATE_SECONDS)
        kept = math.exp(-span)
        self._seconds = self._seconds * kept + max(0, seconds)
        self._tokens = self._tokens * kept + tokens

    def _update_alone(self, seconds: float, tokens: int) -> None:
        """Update lag and rate from a prompt that had the engine to itself.

        Its error is divided between lag and rate by its size: prompts of
        different sizes tell the two apart. If it is far too late, the engine
        has slowed down.
        """
        error = seconds - self.lag_seconds - tokens / self.rate_tokens
        if error > OVERDUE_SECONDS:
            self._update_rate(seconds - self.lag_seconds, tokens)
            return
        size = tokens / _USUAL_TOKENS
        step = _ALONE_GAIN * error / (1 + size * size)
        lag_seconds = self.lag_seconds + step
        self.lag_seconds = min(max(0, lag_seconds), _MAX_LAG_SECONDS)
        slowness = 1 / self.rate_tokens + step * size / _USUAL_TOKENS
        minimum = 1 / (_MAX_RATE_FACTOR * INITIAL_RATE_TOKENS)
        self._seconds = self._tokens * max(minimum, slowness)
