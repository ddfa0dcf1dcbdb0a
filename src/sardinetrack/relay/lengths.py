"""Estimates the output length of requests without an estimate of their own."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.placement.prompt import Prompt

_SMOOTHING_FACTOR: Final = 0.05
"""Weight of the latest estimate: the mean adapts within twenty requests."""


class OutputLengths:
    """Averages, per route, the estimates of callers that state one.

    A request without an estimate states only the maximum output, four times the
    length of most outputs. With that number it would reserve KV cache, and its
    workspace would be charged, for tokens that are never generated.
    """

    def __init__(self) -> None:
        self._log_ratios: dict[str, float] = {}

    def tokens(self, route: str, prompt: Prompt) -> int:
        """Return the likely output length for a prompt."""
        maximum = prompt.max_output_tokens
        if not prompt.is_estimated:
            log_ratio = self._log_ratios.get(route, float(0))
            return math.ceil(maximum * math.exp(log_ratio))
        if maximum:
            self._learn(route, max(1, prompt.output_tokens) / maximum)
        return prompt.output_tokens

    def _learn(self, route: str, ratio: float) -> None:
        log_ratio = math.log(ratio)
        mean = self._log_ratios.get(route, log_ratio)
        self._log_ratios[route] = mean + _SMOOTHING_FACTOR * (log_ratio - mean)

    def keep(self, routes: set[str]) -> None:
        """Forget all other routes."""
        for removed in set(self._log_ratios) - routes:
            self._log_ratios.pop(removed)
