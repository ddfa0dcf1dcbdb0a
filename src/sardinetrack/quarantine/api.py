"""What is known of a part of a prompt, and how processes report it."""

from __future__ import annotations

from enum import StrEnum

import msgspec
import xxhash

from sardinetrack.placement.prompt import Prompt


class PartStatus(StrEnum):
    """How requests with a part are treated."""

    FREE = 'free'
    SUSPECT = 'suspect'
    """They run one at a time, all at the same engine."""
    BLOCKED = 'blocked'
    """They are refused."""


class PartReport(msgspec.Struct, array_like=True, frozen=True):
    """What a process knows of a part."""

    part: str
    crashes: int
    """In a row, each by a request that was sent after the crash before."""
    crashed_ago_seconds: float
    """Time since the last of them."""
    answered_ago_seconds: float | None
    """Time since an engine began to respond to a prompt with the part; ``None``
    if none is known."""


def part_keys(pool: str, prompt: Prompt) -> tuple[str, ...]:
    """Return the keys of the parts that prompts of others may share.

    Callers choose the names of the parts, whose length has no limit; another
    pool runs other software.
    """
    return tuple(
        xxhash.xxh3_64_hexdigest(f'{pool}\0{block_id}'.encode())
        for block_id in prompt.shared_ids
    )
