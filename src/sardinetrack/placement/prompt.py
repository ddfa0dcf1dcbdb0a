"""The prompt of a request to a model engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptBlock:
    """One block of a prompt; prompts of several requests may begin alike."""

    block_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Blocks and lengths of a prompt, and the length of its response."""

    blocks: tuple[PromptBlock, ...] = ()
    """In order; the last one belongs to the request or its session alone."""
    tokens: int = 0
    """Length of the prompt."""
    output_tokens: int = 0
    """Maximum length of the response, or the caller's estimate."""
    max_output_tokens: int = 0
    """Maximum length of the response."""
    is_estimated: bool = False
    """Whether the caller has sent an estimate."""

    @property
    def shared_blocks(self) -> tuple[PromptBlock, ...]:
        """The blocks that prompts of other requests may have in common."""
        return self.blocks[:-1]

    @property
    def shared_ids(self) -> tuple[str, ...]:
        """The ids of these blocks, as callers name them."""
        return tuple(block.block_id for block in self.shared_blocks)
