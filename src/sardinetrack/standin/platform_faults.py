"""What goes wrong at the platform's stand-in, and the count of its calls."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import anyio
from msgspec import Struct


class CallKind(StrEnum):
    """Calls that the platform counts."""

    GET = 'get'
    PUT = 'put'
    DELETE = 'delete'
    LIST = 'list'
    WATCH = 'watch'
    INSTANCES = 'instances'


_WRITES = frozenset((CallKind.PUT, CallKind.DELETE))


class Faults(Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in force; a new set replaces all of the old one."""

    outage: bool = False
    """Every call is answered 503."""
    freeze: bool = False
    """No call gets on until the freeze ends."""
    delay_seconds: float = 0
    reads_per_second: float | None = None
    writes_per_second: float | None = None
    lose_replies: int = 0
    """So many next writes take effect, then the connection is cut."""
    list_lag_seconds: float = 0
    watch_lag_seconds: float = 0
    watch_repeat: bool = False
    """Each watch that has news also repeats the last ones."""
    watch_break: bool = False
    """Each watch is cut off instead of answered."""


class Calls(Struct, frozen=True):
    """Calls since the start, a waiting watch counted as one."""

    taken: dict[str, int]
    throttled: int
    refused: int


class _Bucket:
    """A token bucket that holds one second's worth."""

    def __init__(self, rate_per_second: float, now: float) -> None:
        """Start full."""
        self._rate_per_second = rate_per_second
        self._tokens = max(rate_per_second, 1)
        self._filled_at_seconds = now

    def wait_seconds(self, now: float) -> float:
        """Take a token; tell how long to wait when there is none."""
        passed_seconds = now - self._filled_at_seconds
        self._filled_at_seconds = now
        self._tokens = min(
            max(self._rate_per_second, 1),
            self._tokens + passed_seconds * self._rate_per_second,
        )
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate_per_second
        self._tokens -= 1
        return 0


class FaultGate:
    """Decides what happens to each call."""

    def __init__(self) -> None:
        """Start without faults."""
        self._moving = anyio.Event()
        self._moving.set()
        self.faults = Faults()
        self._replies_to_lose = 0
        self._buckets: dict[bool, _Bucket] = {}
        self._taken: Counter[CallKind] = Counter()
        self._throttled = 0
        self._refused = 0

    def replace(self, now: float, faults: Faults) -> None:
        """Put other faults in force."""
        self.faults = faults
        self._replies_to_lose = faults.lose_replies
        self._buckets = {}
        if not faults.freeze:
            self._moving.set()
        elif self._moving.is_set():
            self._moving = anyio.Event()
        if faults.reads_per_second:
            self._buckets[False] = _Bucket(faults.reads_per_second, now)
        if faults.writes_per_second:
            self._buckets[True] = _Bucket(faults.writes_per_second, now)

    async def hold(self) -> None:
        """Keep a call back as the faults want; call it again to answer."""
        await self._moving.wait()
        await anyio.sleep(self.faults.delay_seconds)

    def refuses(self) -> bool:
        """Tell whether a call meets an outage."""
        self._refused += self.faults.outage
        return self.faults.outage

    def throttle_seconds(self, now: float, kind: CallKind) -> float:
        """Count a call; tell how long it must stay away, 0 if it may pass."""
        bucket = self._buckets.get(kind in _WRITES)
        wait_seconds = bucket.wait_seconds(now) if bucket else 0
        if wait_seconds:
            self._throttled += 1
        else:
            self._taken[kind] += 1
        return wait_seconds

    def loses_reply(self) -> bool:
        """Tell whether the reply of a write that took effect gets lost."""
        if not self._replies_to_lose:
            return False
        self._replies_to_lose -= 1
        return True

    def calls(self) -> Calls:
        """Tell the counters."""
        taken = {kind.value: self._taken[kind] for kind in CallKind}
        return Calls(taken, self._throttled, self._refused)
