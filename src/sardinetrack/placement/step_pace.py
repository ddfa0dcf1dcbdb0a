"""How long the steps of a model engine take, and the pauses that follow."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

MAX_PAUSE_FRACTION: Final = 0.9
"""Fraction of a pause objective that a predicted pause may take; the way of the
event to the caller takes the rest."""


@dataclass(frozen=True, slots=True)
class StepPace:
    """Durations of an engine's steps; all 0 while they are unknown."""

    event_tokens: float = 0
    """Tokens of one event of a stream; each step decodes one."""
    decode_step_seconds: float = 0
    """Of a step that only decodes."""
    prefill_step_seconds: float = 0
    """Of a step that also prefills a chunk of a prompt."""

    @property
    def is_known(self) -> bool:
        """Whether pauses can be predicted."""
        return self.event_tokens > 0 and self.prefill_step_seconds > 0

    def longest_pause_seconds(self, tokens: float, rate_tokens: float) -> float:
        """Predict the longest pause of a running stream.

        :param tokens: prompt tokens that are prefilled without interruption.
        :param rate_tokens: tokens that the engine prefills a second.
        :return: 0 while the pace is unknown.
        """
        if not self.is_known:
            return 0
        chunk_tokens = max(1, rate_tokens * self.prefill_step_seconds)
        chunks = min(self.event_tokens, math.ceil(tokens / chunk_tokens))
        decode_steps = self.event_tokens - chunks
        return (
            chunks * self.prefill_step_seconds
            + decode_steps * self.decode_step_seconds
        )
