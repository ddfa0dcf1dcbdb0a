"""The load that a model engine reports, with a lag."""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import TracebackType
from typing import Self

import anyio


@dataclass(frozen=True, slots=True)
class Load:
    """One report; ``waiting`` counts requests whose prompt is read."""

    running: int = 0
    waiting: int = 0
    tokens_per_second: float = 0
    kv_cache_use: float = 0


class LoadMeter:
    """Follows the load and takes a snapshot each period."""

    def __init__(
        self,
        lag_seconds: float,
        kv_capacity_tokens: int,
        now_seconds: float,
    ) -> None:
        """Start idle."""
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
        self._pass(now_seconds)
        return self._snapshot

    def prefill(self, now_seconds: float, prompt_tokens: int) -> None:
        """A request starts to read its prompt."""
        self._pass(now_seconds)
        self._waiting += 1
        self._kv_tokens += prompt_tokens

    def decode(self, now_seconds: float) -> None:
        """Its prompt is read, tokens follow."""
        self._pass(now_seconds)
        self._waiting -= 1
        self.running += 1

    def token(self, now_seconds: float) -> None:
        """One token came out."""
        self._pass(now_seconds)
        self._period_tokens += 1
        self._kv_tokens += 1

    def end(self, now_seconds: float, tokens: int, *, decoding: bool) -> None:
        """A request ended.

        :param tokens: of its prompt and answer, freed now.
        :param decoding: ``False`` if its prompt was still being read.
        """
        self._pass(now_seconds)
        self.running -= int(decoding)
        self._waiting -= int(not decoding)
        self._kv_tokens -= tokens

    def _pass(self, now_seconds: float) -> None:
        """Take the snapshots due; nothing changed since the last event."""
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
    """One request's part of the load, from its prompt to its end."""

    def __init__(self, meter: LoadMeter, prompt_tokens: int) -> None:
        """Build it; use it as a context manager."""
        self._meter = meter
        self._tokens = prompt_tokens
        self._decoding = False

    def __enter__(self) -> Self:
        """Start to read the prompt."""
        self._meter.prefill(anyio.current_time(), self._tokens)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Free what it held."""
        self._meter.end(
            anyio.current_time(),
            self._tokens,
            decoding=self._decoding,
        )

    def decode(self) -> None:
        """The prompt is read."""
        self._decoding = True
        self._meter.decode(anyio.current_time())

    def token(self) -> None:
        """One token came out."""
        self._tokens += 1
        self._meter.token(anyio.current_time())
