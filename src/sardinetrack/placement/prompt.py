"""What a request asks of a model engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests share parts."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks of a model engine."""

    parts: tuple[PromptPart, ...] = ()
    tokens: int = 0
    answer_tokens: int = 0
    """Most tokens that the answer may have, or the caller's estimate."""
    most_answer_tokens: int = 0
    is_estimated: bool = False
    """Whether the caller has told an estimate."""
