"""Injected faults of the platform's stand-in, and its call counts."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import anyio
from msgspec import Struct


class CallKind(StrEnum):
    """Kinds of calls that are counted."""

    GET = 'get'
    PUT = 'put'
    DELETE = 'delete'
    LIST = 'list'
    WATCH = 'watch'
    INSTANCES = 'instances'


_WRITE_KINDS = frozenset((CallKind.PUT, CallKind.DELETE))


class Faults(Struct, frozen=True, forbid_unknown_fields=True):
    """The active faults; a new set replaces the old one completely."""

    outage: bool = False
    """Every call gets a 503 response."""
    freeze: bool = False
    """All calls are delayed until the freeze ends."""
    delay_seconds: float = 0
    reads_per_second: float | None = None
    writes_per_second: float | None = None
    lose_replies: int = 0
    """The next writes, up to this number, are applied, but their connections
    are closed without a response."""
    list_lag_seconds: float = 0
    watch_lag_seconds: float = 0
    watch_repeat: bool = False
    """Each watch that returns changes also returns all current objects."""
    watch_break: bool = False
    """The connection of each watch is closed without a response."""


class CallCounts(Struct, frozen=True):
    """Calls since the start; a pending watch counts as one."""

    taken: dict[str, int]
    throttled: int
    refused: int


class _Bucket:
    """A token bucket with the capacity of one second."""

    def __init__(self, rate_per_second: float, now: float) -> None:
        """Build a full bucket."""
        self._rate_per_second = rate_per_second
        self._tokens = max(rate_per_second, 1)
        self._filled_at_seconds = now

    def wait_seconds(self, now: float) -> float:
        """Take a token; return the wait if there is none, else 0."""
        elapsed_seconds = now - self._filled_at_seconds
        self._filled_at_seconds = now
        self._tokens = min(
            max(self._rate_per_second, 1),
            self._tokens + elapsed_seconds * self._rate_per_second,
        )
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate_per_second
        self._tokens -= 1
        return 0


class FaultGate:
    """Applies the faults to each call."""

    def __init__(self) -> None:
        """Build a gate without faults."""
        self._unfrozen = anyio.Event()
        self._unfrozen.set()
        self.faults = Faults()
        self._responses_to_drop = 0
        self._buckets: dict[bool, _Bucket] = {}
        self._taken: Counter[CallKind] = Counter()
        self._throttled = 0
        self._refused = 0

    def replace(self, now: float, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        self._responses_to_drop = faults.lose_replies
        self._buckets = {}
        if not faults.freeze:
            self._unfrozen.set()
        elif self._unfrozen.is_set():
            self._unfrozen = anyio.Event()
        if faults.reads_per_second:
            self._buckets[False] = _Bucket(faults.reads_per_second, now)
        if faults.writes_per_second:
            self._buckets[True] = _Bucket(faults.writes_per_second, now)

    async def delay_call(self) -> None:
        """Delay a call by the active faults; also awaited before a response."""
        await self._unfrozen.wait()
        await anyio.sleep(self.faults.delay_seconds)

    def rejects_call(self) -> bool:
        """Return whether an outage rejects a call, and count it."""
        self._refused += self.faults.outage
        return self.faults.outage

    def throttle_seconds(self, now: float, kind: CallKind) -> float:
        """Count a call; return the wait before a retry, 0 if it is admitted."""
        bucket = self._buckets.get(kind in _WRITE_KINDS)
        wait_seconds = bucket.wait_seconds(now) if bucket else 0
        if wait_seconds:
            self._throttled += 1
        else:
            self._taken[kind] += 1
        return wait_seconds

    def drops_response(self) -> bool:
        """Return whether to drop the response to a write that was applied."""
        if not self._responses_to_drop:
            return False
        self._responses_to_drop -= 1
        return True

    def call_counts(self) -> CallCounts:
        """Return the counters."""
        taken = {kind.value: self._taken[kind] for kind in CallKind}
        return CallCounts(taken, self._throttled, self._refused)
