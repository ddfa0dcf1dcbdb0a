"""Reads the headers of a request that describe its prompt.

Callers choose what stands there; what is kept of it is bounded in length and
value.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import xxhash

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.placement.prompt import Prompt, PromptBlock

_ENCODING: Final = 'latin-1'
MAX_ID_LENGTH: Final = 128
"""Longer ids are replaced by a hash in logs and in messages between instances,
where they would take as much memory as a caller likes."""
MAX_BLOCKS: Final = 64
"""Blocks of a prompt that are told apart; the rest counts as its last one."""
MAX_TOKENS: Final = 100_000_000
"""Some hundred times the longest prompt that any model reads."""


def parse_integer(content: bytes | None) -> int | None:
    """Parse a whole number; ``None`` if it is none."""
    try:
        return int(content) if content else None
    except ValueError:
        return None


def bounded_id(text: str) -> str:
    """Return an id, or a hash of one that is too long."""
    if len(text) <= MAX_ID_LENGTH:
        return text
    return f'long-{xxhash.xxh3_128_hexdigest(text.encode())}'


def parse_prompt(fields: Mapping[bytes, bytes]) -> Prompt:
    """Parse the description of a prompt.

    :param fields: contents of headers by their names in lower case.
    :raises RequestError: a token count is out of bounds.
    """
    counts = fields.get(b'x-sardinetrack-token-count', b'').split(b',')
    if len(counts) != 2:
        return Prompt()
    tokens = _parse_count(counts[0])
    max_output_tokens = _parse_count(counts[1])
    hint = _parse_hint(fields.get(b'x-sardinetrack-length-hint'))
    output_tokens = max_output_tokens
    if hint is not None:
        output_tokens = min(hint, max_output_tokens or hint)
    prefix = fields.get(b'x-sardinetrack-prefix-hash', b'')
    return Prompt(
        _parse_blocks(prefix, tokens),
        tokens,
        output_tokens,
        max_output_tokens,
        is_estimated=hint is not None,
    )


def _parse_blocks(prefix: bytes, tokens: int) -> tuple[PromptBlock, ...]:
    """Parse a list of blocks.

    :param tokens: of the whole prompt; what the first blocks don't have belongs
        to the last one if there are too many.
    """
    items = prefix.split(b',', MAX_BLOCKS - 1)
    _, comma, last = items[-1].rpartition(b',')
    items[-1] = last
    blocks = [_parse_block(item) for item in items if b':' in item]
    if comma and blocks:
        own = max(0, tokens - sum(block.tokens for block in blocks[:-1]))
        blocks[-1] = PromptBlock(blocks[-1].block_id, own)
    return tuple(blocks)


def _parse_block(item: bytes) -> PromptBlock:
    block_id, _, tokens = item.strip().partition(b':')
    name = bounded_id(block_id.decode(_ENCODING))
    count = parse_integer(tokens) or 0
    return PromptBlock(name, min(max(0, count), MAX_TOKENS))


def _parse_count(content: bytes) -> int:
    """Parse a number of tokens; 0 if it is no number.

    :raises RequestError: it is out of bounds. It would go into sums that other
        requests depend on.
    """
    count = parse_integer(content) or 0
    if 0 <= count <= MAX_TOKENS:
        return count
    raise RequestError(
        ErrorKind.BAD_REQUEST,
        f'token counts must be whole numbers up to {MAX_TOKENS}',
    )


def _parse_hint(content: bytes | None) -> int | None:
    """Parse the estimate of the output; ``None`` if it is out of bounds."""
    hint = parse_integer(content)
    if hint is None or not 0 <= hint <= MAX_TOKENS:
        return None
    return hint
