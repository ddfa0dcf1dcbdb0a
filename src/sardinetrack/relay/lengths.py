"""How long an answer will be whose caller does not say."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.placement.prompt import Prompt

_GAIN: Final = 0.05
"""Weight of the latest estimate: it follows within twenty requests."""


class AnswerLengths:
    """Learns from the estimates of other callers of a route.

    Without an estimate a request tells only the most that its answer may have,
    four times what most answers do. Reckoned at that it would hold memory, and
    its workspace would be charged, for what is never written.
    """

    def __init__(self) -> None:
        """Start knowing no route."""
        self._log_parts: dict[str, float] = {}

    def tokens(self, route: str, prompt: Prompt) -> int:
        """Tell how long the answer to a prompt is likely to be."""
        most = prompt.most_answer_tokens
        if not prompt.is_estimated:
            log_part = self._log_parts.get(route, float(0))
            return math.ceil(most * math.exp(log_part))
        if most:
            self._learn(route, max(1, prompt.answer_tokens) / most)
        return prompt.answer_tokens

    def _learn(self, route: str, part: float) -> None:
        log_part = math.log(part)
        held = self._log_parts.get(route, log_part)
        self._log_parts[route] = held + _GAIN * (log_part - held)

    def keep(self, routes: set[str]) -> None:
        """Forget all other routes."""
        for gone in set(self._log_parts) - routes:
            self._log_parts.pop(gone)
