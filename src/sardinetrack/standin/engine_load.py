"""The load that a model engine reports, delayed by up to one period."""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import TracebackType
from typing import Self

import anyio


@dataclass(frozen=True, slots=True)
class Load:
    """A load report; ``waiting`` counts requests in prefill."""

    running: int = 0
    waiting: int = 0
    tokens_per_second: float = 0
    kv_cache_use: float = 0


class LoadMeter:
    """Tracks the load and takes a snapshot each period."""

    def __init__(
        self,
        lag_seconds: float,
        kv_capacity_tokens: int,
        now_seconds: float,
    ) -> None:
        """Build the meter of an idle engine.

        :param lag_seconds: length of a period.
        :param kv_capacity_tokens: capacity of the KV cache in tokens.
        :param now_seconds: start of the first period.
        """
        self.running = 0
        self._waiting = 0
        self._kv_tokens = 0
        self._period_tokens = 0
        self._lag_seconds = lag_seconds
        self._kv_capacity_tokens = kv_capacity_tokens
        self._due_seconds = now_seconds + lag_seconds
        self._snapshot = Load()

    def report(self, now_seconds: float) -> Load:
        """Return the last snapshot."""
        self._advance(now_seconds)
        return self._snapshot

    def start_prefill(self, now_seconds: float, prompt_tokens: int) -> None:
        """Count a request that starts its prefill."""
        self._advance(now_seconds)
        self._waiting += 1
        self._kv_tokens += prompt_tokens

    def start_decode(self, now_seconds: float) -> None:
        """Count a request whose prefill ended and whose decode starts."""
        self._advance(now_seconds)
        self._waiting -= 1
        self.running += 1

    def count_token(self, now_seconds: float) -> None:
        """Count one generated token."""
        self._advance(now_seconds)
        self._period_tokens += 1
        self._kv_tokens += 1

    def end(self, now_seconds: float, tokens: int, *, decoding: bool) -> None:
        """Count a request that ended.

        :param tokens: its prompt and output tokens, freed in the KV cache.
        :param decoding: ``False`` if it was still in prefill.
        """
        self._advance(now_seconds)
        self.running -= int(decoding)
        self._waiting -= int(not decoding)
        self._kv_tokens -= tokens

    def _advance(self, now_seconds: float) -> None:
        """Take the snapshots due, before the load changes."""
        if now_seconds < self._due_seconds:
            return
        self._snapshot = Load(
            self.running,
            self._waiting,
            self._period_tokens / self._lag_seconds,
            min(1, self._kv_tokens / self._kv_capacity_tokens),
        )
        self._period_tokens = 0
        self._due_seconds += self._lag_seconds
        late_seconds = now_seconds - self._due_seconds
        if late_seconds >= 0:
            periods = late_seconds // self._lag_seconds + 1
            self._due_seconds += periods * self._lag_seconds
            self._snapshot = replace(self._snapshot, tokens_per_second=0)


class Sequence:
    """The load of one request, from its prefill to its end."""

    def __init__(self, meter: LoadMeter, prompt_tokens: int) -> None:
        """Build a sequence, to be used as a context manager.

        :param prompt_tokens: length of the prompt in tokens.
        """
        self._meter = meter
        self._tokens = prompt_tokens
        self._decoding = False

    def __enter__(self) -> Self:
        """Start the prefill."""
        self._meter.start_prefill(anyio.current_time(), self._tokens)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Count the end and free the request's tokens."""
        self._meter.end(
            anyio.current_time(),
            self._tokens,
            decoding=self._decoding,
        )

    def start_decode(self) -> None:
        """Start the decode."""
        self._decoding = True
        self._meter.start_decode(anyio.current_time())

    def count_token(self) -> None:
        """Count one generated token."""
        self._tokens += 1
        self._meter.count_token(anyio.current_time())
