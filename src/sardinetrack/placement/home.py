"""Where a prompt is at home: the server that should hold its shared parts."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

from sardinetrack.placement.prompt import Prompt

_MOST_REMEMBERED: Final = 4096
"""Orders that are remembered; a busy entry meets some hundred parts."""


def shared_part(prompt: Prompt) -> str:
    """Name the deepest part of a prompt that other requests share.

    The last part belongs to the request or its session alone; the one before
    it is the deepest that others bring again.

    :param prompt: its parts in order.
    :return: the id, empty for a prompt without parts.
    """
    parts = prompt.parts
    if not parts:
        return ''
    return parts[-2].part_id if len(parts) > 1 else parts[0].part_id


def shared_tokens(prompt: Prompt) -> int:
    """Count the tokens up to the end of the shared part."""
    return sum(part.tokens for part in prompt.parts[:-1])


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Order servers by rendezvous hashing.

    Entries agree on the order without a word, and when a server comes or
    goes only the prompts at home there move.

    :param key: the shared part.
    :param names: the servers' instances.
    :return: the home first.
    """
    return list(_ranked(key, tuple(names)))


@lru_cache(maxsize=_MOST_REMEMBERED)
def _ranked(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Hash once for each part and set of servers."""
    order = sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()),
        reverse=True,
    )
    return tuple(order)
