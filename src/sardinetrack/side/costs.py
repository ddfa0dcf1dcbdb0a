"""Cost of a request, measured on its response as it streams by."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from typing import Final

import msgspec

from sardinetrack.catalogue.api import Pool, PoolClass

_EVENT_PREFIX: Final = b'\ndata:'
_DONE_EVENT: Final = b'data: [DONE]'
_USAGE_KEY: Final = '"usage":'
_TAIL_BYTES: Final = 8192
_BYTES_PER_TOKEN: Final = 4


class TokenUsage(msgspec.Struct, frozen=True):
    """Token counts as reported by model engines."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class CostMeter(ABC):
    """Measures the cost of one response."""

    @abstractmethod
    def feed(self, chunk: bytes) -> None:
        """Process a chunk of the body."""

    @abstractmethod
    def cost(self, run_seconds: float) -> float:
        """Return the cost so far, in cost units of the pool.

        :param run_seconds: time since the request was started.
        """


class RunTimeMeter(CostMeter):
    """Meter of plain services: the cost is the run time."""

    def feed(self, chunk: bytes) -> None:
        """Ignore the body."""

    def cost(self, run_seconds: float) -> float:
        """Return the run time."""
        return run_seconds


class TokenMeter(CostMeter):
    """Meter of model engines: the reported usage, or else counted events."""

    def __init__(self, prompt_token_cost: float) -> None:
        """Create a meter that has seen no part of the response.

        :param prompt_token_cost: cost of a prompt token in units of one
            generated token.
        """
        self._prompt_token_cost = prompt_token_cost
        self._events = 0
        self._size_bytes = 0
        self._tail = b'\n'

    def feed(self, chunk: bytes) -> None:
        """Count events, and keep the end of the body: it contains the usage."""
        # The prefix of an event may be split between two chunks.
        joined = self._tail[-len(_EVENT_PREFIX) + 1 :] + chunk
        self._events += joined.count(_EVENT_PREFIX)
        self._size_bytes += len(chunk)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]

    def cost(self, run_seconds: float) -> float:
        """Return the cost by usage, else by events, else by size."""
        usage = _last_usage(self._tail)
        if usage is not None:
            prompt_cost = usage.prompt_tokens * self._prompt_token_cost
            return usage.completion_tokens + prompt_cost
        if self._events:
            return self._events - int(_DONE_EVENT in self._tail)
        return self._size_bytes / _BYTES_PER_TOKEN


def meter_for(pool: Pool) -> CostMeter:
    """Choose the meter for a pool."""
    if pool.pool_class is PoolClass.MODEL:
        return TokenMeter(pool.prompt_token_cost)
    return RunTimeMeter()


def _last_usage(tail: bytes) -> TokenUsage | None:
    text = tail.decode('utf-8', 'replace')
    _, found, rest = text.rpartition(_USAGE_KEY)
    if not found:
        return None
    try:
        parsed, _ = json.JSONDecoder().raw_decode(rest.lstrip())
        return msgspec.convert(parsed, TokenUsage)
    except (ValueError, RecursionError):
        return None
