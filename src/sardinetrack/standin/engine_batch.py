"""A model of continuous batching: pure functions of load and prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from typing import Annotated, Final

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

BLOCK_TOKENS: Final = 16

_Positive = Annotated[int, Field(gt=0)]
_Seconds = Annotated[float, Field(ge=0)]


@dataclass(frozen=True, config=ConfigDict(extra='forbid'))
class EngineRates:
    """How fast an engine works.

    :param base_token_seconds: between two tokens, up to the knee.
    :param knee: running requests past which all of them slow down.
    :param prefill_token_seconds: for each prompt token not in the cache.
    :param cache_blocks: capacity of the prefix cache.
    :param kv_capacity_tokens: tokens whose KV cache fits in memory.
    """

    base_token_seconds: _Seconds = 0.01
    knee: _Positive = 8
    prefill_token_seconds: _Seconds = 0.0002
    cache_blocks: _Positive = 256
    kv_capacity_tokens: _Positive = 65_536

    def token_seconds(self, running: int) -> float:
        """Time between tokens with so many requests running."""
        return self.base_token_seconds * max(1, running / self.knee)

    def prefill_seconds(self, prompt_tokens: int, cached_tokens: int) -> float:
        """Time before the first token."""
        return self.prefill_token_seconds * (prompt_tokens - cached_tokens)


class PrefixCache:
    """Whole blocks of prompts, the least recently used dropped first."""

    def __init__(self, capacity_blocks: int) -> None:
        """Start empty."""
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def take(self, tokens: Sequence[str]) -> int:
        """Look a prompt up and keep it.

        :param tokens: the prompt.
        :return: how many of its first tokens were cached.
        """
        cached_tokens = 0
        missed = False
        for block in _prefixes(tokens):
            missed = missed or block not in self._blocks
            cached_tokens += 0 if missed else BLOCK_TOKENS
            self._keep(block)
        return cached_tokens

    def clear(self) -> None:
        """Drop all blocks."""
        self._blocks.clear()

    def _keep(self, block: int) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)


def _prefixes(tokens: Sequence[str]) -> Iterator[int]:
    prefix = 0
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        prefix = hash((prefix, *tokens[end - BLOCK_TOKENS : end]))
        yield prefix
