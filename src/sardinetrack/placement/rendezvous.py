"""The home server of a prompt, which should cache its shared prefix.

It is the server that rendezvous hashing prefers for that prefix.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Final

import xxhash

from sardinetrack.placement.prompt import Prompt

_MAX_CACHED_ORDERS: Final = 4096
"""Server orders kept in memory; a busy entry sees some hundred prefixes."""
_MAX_CACHED_WEIGHTS: Final = 64
"""Weights of servers kept in memory, for each pool the current ones."""
EQUAL_RATES_FACTOR: Final = 1.5
"""Engines slower than the fastest by at most this factor have equal weights.

An engine prefills a third less in a full batch than when it does nothing else.
"""
WEIGHT_STEP: Final = 1.25
"""Factor between two weights, so that similar engines have the same."""
_HASH_BITS: Final = 64
_FRACTION_BITS: Final = 52
"""Bits of a hash that become a fraction; one more half is still exact."""


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
    return sum(part.tokens for part in prompt.shared_blocks)


def rendezvous_order(
    key: str,
    names: Iterable[str],
    rates: Sequence[float] = (),
) -> list[str]:
    """Order servers by rendezvous hashing.

    Entries agree on the order without communication, and when a server is
    added or removed only the prompts with that home server move. A server that
    is much slower than the fastest is the home server of fewer prompts; when
    its rate changes, only prompts that it gives up or gets move.

    :param key: id of the shared prefix.
    :param names: the servers' instances.
    :param rates: how fast each of them prefills; empty for servers alike.
    :return: the home server first.
    """
    weights: tuple[float, ...] = ()
    if rates and max(rates) > EQUAL_RATES_FACTOR * min(rates):
        weights = _weights(tuple(rates))
    return list(_rendezvous_order(key, tuple(names), weights))


@lru_cache(maxsize=_MAX_CACHED_WEIGHTS)
def _weights(rates: tuple[float, ...]) -> tuple[float, ...]:
    """Return the weight of each server, 1 for the fastest."""
    fastest = max(rates)
    return tuple(
        WEIGHT_STEP ** round(math.log(rate / fastest, WEIGHT_STEP))
        if fastest > EQUAL_RATES_FACTOR * rate
        else 1
        for rate in rates
    )


@lru_cache(maxsize=_MAX_CACHED_ORDERS)
def _rendezvous_order(
    key: str,
    names: tuple[str, ...],
    weights: tuple[float, ...],
) -> tuple[str, ...]:
    """Hash once for each prefix, set of servers and their weights."""
    hashes = {
        name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())
        for name in names
    }
    if not weights:
        return tuple(sorted(names, key=hashes.__getitem__, reverse=True))
    scores = {
        name: (_score(hashes[name], weight), hashes[name])
        for name, weight in zip(names, weights, strict=True)
    }
    return tuple(sorted(names, key=scores.__getitem__, reverse=True))


def _score(hash_value: int, weight: float) -> float:
    """Return the score of weighted rendezvous hashing."""
    fraction = hash_value >> (_HASH_BITS - _FRACTION_BITS)
    return -weight / math.log((fraction + 0.5) / 2**_FRACTION_BITS)
