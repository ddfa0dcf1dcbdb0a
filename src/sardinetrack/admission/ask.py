"""A request that would like to go to a model engine, and the verdict on it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

_ANSWER_WEIGHT: Final = 2.0
"""Tokens generated count twice (the platform's pages)."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that would like to go to the engine."""

    ask_id: str
    workspace: str
    new_tokens: int
    """Prompt tokens that the engine would have to read."""
    kept_tokens: int
    """Tokens that it adds to the engine's memory, those of the answer too."""
    answer_tokens: int
    patience_seconds: float
    """How long it may wait at the most."""
    priority: int = 0
    entry: str = ''
    served_tokens: float = 0
    """What the entry has had served to the workspace lately, anywhere."""
    part: str = ''
    """The shared part that the engine holds when the request has begun."""
    due_seconds: float = math.inf
    """From now to the moment at which its first event is late."""
    ends_seconds: float = math.inf
    """From now to the moment at which its caller waits no longer."""
    fingerprint: str = ''
    """Stays the same when the caller sends the request again."""
    returned_seconds: float = 0
    """How long before it was refused, as far as the entry knows."""

    @property
    def is_late(self) -> bool:
        """Whether its first event is late already.

        Its caller has come back after a refusal, and waits on.
        """
        return self.due_seconds <= 0

    @property
    def cost(self) -> float:
        """Service that it takes, in tokens."""
        return self.new_tokens + _ANSWER_WEIGHT * self.answer_tokens


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now."""

    ask_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request can't be served in time; it must not be sent."""

    ask_id: str
    retry_after_seconds: float
    waited_seconds: float
    ahead_tokens: int
    """What was to be read before it."""


Verdict = Granted | Refused
