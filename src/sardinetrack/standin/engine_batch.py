"""A model of continuous batching: token rates and the prefix cache."""

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
    """Speed and memory of an engine.

    :param base_token_seconds: seconds between two tokens, up to the knee.
    :param knee: number of running requests above which all slow down.
    :param prefill_token_seconds: seconds for each prompt token that is not
        in the prefix cache.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param kv_capacity_tokens: capacity of the KV cache in tokens.
    """

    base_token_seconds: _Seconds = 0.01
    knee: _Positive = 8
    prefill_token_seconds: _Seconds = 0.0002
    cache_blocks: _Positive = 256
    kv_capacity_tokens: _Positive = 65_536

    def token_seconds(self, running: int) -> float:
        """Return the seconds between tokens for a number of requests."""
        return self.base_token_seconds * max(1, running / self.knee)

    def prefill_seconds(self, prompt_tokens: int, cached_tokens: int) -> float:
        """Return the seconds before the first token."""
        return self.prefill_token_seconds * (prompt_tokens - cached_tokens)


class PrefixCache:
    """LRU cache of complete prompt blocks."""

    def __init__(self, capacity_blocks: int) -> None:
        """Build an empty cache.

        :param capacity_blocks: maximum number of blocks.
        """
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def look_up_and_insert(self, tokens: Sequence[str]) -> int:
        """Look up a prompt and insert all its blocks.

        :param tokens: the prompt.
        :return: length in tokens of the prefix that was cached.
        """
        cached_tokens = 0
        missed = False
        for block in _prefix_hashes(tokens):
            missed = missed or block not in self._blocks
            cached_tokens += 0 if missed else BLOCK_TOKENS
            self._insert(block)
        return cached_tokens

    def clear(self) -> None:
        """Drop all blocks."""
        self._blocks.clear()

    def _insert(self, block: int) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)


def _prefix_hashes(tokens: Sequence[str]) -> Iterator[int]:
    prefix = 0
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        prefix = hash((prefix, *tokens[end - BLOCK_TOKENS : end]))
        yield prefix
