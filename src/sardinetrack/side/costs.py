"""What a request cost, read from its answer as it passes."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from typing import Final

import msgspec

from sardinetrack.catalogue.api import Pool, PoolClass

_EVENT: Final = b'\ndata:'
_DONE: Final = b'data: [DONE]'
_USAGE: Final = '"usage":'
_TAIL_BYTES: Final = 8192
_BYTES_PER_TOKEN: Final = 4


class Usage(msgspec.Struct, frozen=True):
    """Token counts as model engines report them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class CostMeter(ABC):
    """Adds up the cost of one answer."""

    @abstractmethod
    def feed(self, chunk: bytes) -> None:
        """Take note of a piece of the body."""

    @abstractmethod
    def cost(self, run_seconds: float) -> float:
        """Tell the cost so far in cost units of the pool."""


class ServiceMeter(CostMeter):
    """Plain services: the cost is the run time."""

    def feed(self, chunk: bytes) -> None:
        """Ignore the body."""

    def cost(self, run_seconds: float) -> float:
        """Tell the run time."""
        return run_seconds


class ModelMeter(CostMeter):
    """Model engines: the usage they report, or events counted."""

    def __init__(self, prompt_token_cost: float) -> None:
        """Start at nothing.

        :param prompt_token_cost: in units of one generated token.
        """
        self._prompt_token_cost = prompt_token_cost
        self._events = 0
        self._size_bytes = 0
        self._tail = b'\n'

    def feed(self, chunk: bytes) -> None:
        """Count events; keep the end, where the usage stands."""
        # An event's mark may be cut by the border of two chunks.
        seam = self._tail[-len(_EVENT) + 1 :] + chunk
        self._events += seam.count(_EVENT)
        self._size_bytes += len(chunk)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]

    def cost(self, run_seconds: float) -> float:
        """Tell the cost by usage, else by events, else by size."""
        usage = _last_usage(self._tail)
        if usage is not None:
            prompt_cost = usage.prompt_tokens * self._prompt_token_cost
            return usage.completion_tokens + prompt_cost
        if self._events:
            return self._events - int(_DONE in self._tail)
        return self._size_bytes / _BYTES_PER_TOKEN


def meter_for(pool: Pool) -> CostMeter:
    """Choose the meter for a pool."""
    if pool.pool_class is PoolClass.MODEL:
        return ModelMeter(pool.prompt_token_cost)
    return ServiceMeter()


def _last_usage(tail: bytes) -> Usage | None:
    text = tail.decode('utf-8', 'replace')
    _, mark, rest = text.rpartition(_USAGE)
    if not mark:
        return None
    try:
        parsed, _ = json.JSONDecoder().raw_decode(rest.lstrip())
        return msgspec.convert(parsed, Usage)
    except (ValueError, msgspec.ValidationError):
        return None
