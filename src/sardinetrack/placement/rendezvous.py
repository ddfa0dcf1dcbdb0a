"""The home server of a prompt, which should cache its shared prefix.

It is the server that rendezvous hashing prefers for that prefix.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

from sardinetrack.placement.prompt import Prompt

_MAX_CACHED_ORDERS: Final = 4096
"""Server orders kept in memory; a busy entry sees some hundred prefixes."""


def shared_prefix(prompt: Prompt) -> str:
    """Return the id of the longest prefix that other requests share.

    The last block belongs to the request or its session alone; the one before
    it ends the longest prefix that other requests repeat.

    :param prompt: with its blocks in order.
    :return: the id of that block, empty for a prompt without blocks.
    """
    parts = prompt.blocks
    if not parts:
        return ''
    return parts[-2].block_id if len(parts) > 1 else parts[0].block_id


def shared_prefix_tokens(prompt: Prompt) -> int:
    """Return the number of tokens in the shared prefix."""
    return sum(part.tokens for part in prompt.blocks[:-1])


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Order servers by rendezvous hashing.

    Entries agree on the order without communication, and when a server is
    added or removed only the prompts with that home server move.

    :param key: id of the shared prefix.
    :param names: the servers' instances.
    :return: the home server first.
    """
    return list(_rendezvous_order(key, tuple(names)))


@lru_cache(maxsize=_MAX_CACHED_ORDERS)
def _rendezvous_order(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Hash once for each prefix and set of servers."""
    order = sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()),
        reverse=True,
    )
    return tuple(order)
