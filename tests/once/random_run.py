"""A seeded run of callers, entries and faults, checked by a simple model."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from sardinetrack.entry.claims import (
    AlreadyFinished,
    AlreadyRunning,
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimStoreUnavailableError,
    OutcomeUnknown,
    RequestMismatch,
)
from sardinetrack.once.claims import ClaimSettings, ShardedClaimStore
from support.faulty_platform import FaultRates, FaultyPlatform, SharedStore
from support.virtual_time import run_virtually

SKEW_SECONDS = 5.0
RETENTION_SECONDS = (40.0, 200.0)
"""By seed: keys expire and are used again within the run, or not."""
SETTLED_SECONDS = 10.0
_KEYS = 30
_HASHES = ('one', 'one', 'one', 'one', 'other')


@dataclass
class KnownClaim:
    """The newest claim of a key, as the reference model knows it."""

    request: ClaimRequest
    claimed_at: float
    released: bool = False

    def is_claimable(self, now: float, retention_seconds: float) -> bool:
        """Whether the key may be claimed by another attempt."""
        valid_seconds = SETTLED_SECONDS + retention_seconds - 2 * SKEW_SECONDS
        return self.released or now >= self.claimed_at + valid_seconds


@dataclass
class ReferenceModel:
    """A dictionary that is updated at the moment of each claim and end."""

    retention_seconds: float
    newest_claims: dict[str, KnownClaim] = field(default_factory=dict)
    requested: set[str] = field(default_factory=set)
    finished: set[str] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)

    def check(self, request: ClaimRequest, result: ClaimResult) -> None:
        """Check that a result can be correct."""
        self.counts[type(result).__name__] += 1
        now = anyio.current_time()
        known = self.newest_claims.get(request.key)
        match result:
            case Claimed():
                assert known is None or known.is_claimable(
                    now, self.retention_seconds
                ), f'{request} claimed beside {known} at {now}'
                self.newest_claims[request.key] = KnownClaim(request, now)
            case AlreadyFinished():
                assert request.key in self.finished, request
            case AlreadyRunning() | OutcomeUnknown() | RequestMismatch():
                assert request.key in self.requested, (request, result)


class EntryStub:
    """An entry that crashes and restarts without state."""

    def __init__(self, run: RandomRun, number: int) -> None:
        self.claims: ShardedClaimStore | None = None
        self.platform = run.platform()
        self._run = run
        self._skew_seconds = run.rng.uniform(-SKEW_SECONDS, SKEW_SECONDS)
        self._run_seconds = [run.rng.uniform(3, 40) for _ in range(50)]

    async def run_with_crashes(self) -> None:
        """Serve for random times, with a crash after each."""
        for seconds in self._run_seconds:
            with anyio.move_on_after(seconds):
                await self._serve()
            self.claims = None
            self._run.reference.counts['crash'] += 1
            await anyio.sleep(1)

    async def _serve(self) -> None:
        settings = ClaimSettings(
            shards=2,
            key_retention_seconds=self._run.reference.retention_seconds,
            max_head_bytes=1_500,
        )
        rng = random.Random(self._run.rng.random())
        async with ShardedClaimStore(
            self.platform,
            settings,
            wall_clock=self._wall_clock,
            jitter_rng=rng,
        ) as claims:
            self.claims = claims
            await anyio.sleep_forever()

    def _wall_clock(self) -> float:
        return anyio.current_time() + self._skew_seconds


class RandomRun:
    """The callers, entries and faults of one seed."""

    def __init__(self, seed: int, callers: int, entries: int) -> None:
        self.rng = random.Random(seed)
        self.reference = ReferenceModel(
            RETENTION_SECONDS[seed % len(RETENTION_SECONDS)]
        )
        self.shared_store = SharedStore()
        self._entries: list[EntryStub] = []
        self._callers = callers
        self._entry_count = entries
        self._tasks: TaskGroup

    async def run(self) -> RandomRun:
        """Run all callers, then stop the entries."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for number in range(self._entry_count):
                entry = EntryStub(self, number)
                self._entries.append(entry)
                tasks.start_soon(entry.run_with_crashes)
            tasks.start_soon(self._inject_faults)
            async with anyio.create_task_group() as callers:
                for number in range(self._callers):
                    callers.start_soon(self._caller, f'attempt-{number}')
                    await anyio.sleep(self.rng.expovariate(8))
            tasks.cancel_scope.cancel()
        return self

    def platform(self) -> FaultyPlatform:
        """Build one entry's access to the store."""
        odds = FaultRates(
            refused=0.02,
            throttled=0.02,
            lost_reply=0.06,
            late_write=0.06,
            latency_seconds=0.05,
        )
        return FaultyPlatform(self.shared_store, odds, self.rng, self._tasks)

    async def _inject_faults(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(5, 20))
            entry = self.rng.choice(self._entries)
            if self.rng.randrange(2):
                entry.platform.cut = True
            else:
                self.shared_store.outage = True
            await anyio.sleep(self.rng.uniform(0.2, 5))
            entry.platform.cut = False
            self.shared_store.outage = False

    async def _caller(self, attempt_id: str) -> None:
        entry = self.rng.choice(self._entries)
        claims = entry.claims
        if claims is None:
            return
        request = ClaimRequest(
            workspace='pilot',
            key=f'key-{self.rng.randrange(_KEYS)}',
            request_hash=self.rng.choice(_HASHES) * 8,
            attempt_id=attempt_id,
            settled_within_seconds=SETTLED_SECONDS,
        )
        self.reference.requested.add(request.key)
        result = await self._claim(claims, request)
        if isinstance(result, Claimed):
            await anyio.sleep(self.rng.uniform(0, SETTLED_SECONDS))
            if entry.claims is claims:
                await self._end(claims, request, result)

    async def _claim(
        self,
        claims: ShardedClaimStore,
        request: ClaimRequest,
    ) -> ClaimResult | None:
        result: ClaimResult | None = None
        max_wait_seconds = self.rng.choice((0.05, 0.2, 30, 30, 30))
        with (
            anyio.move_on_after(max_wait_seconds),
            suppress(ClaimStoreUnavailableError),
        ):
            result = await claims.claim(request)
            self.reference.check(request, result)
        if result is None:
            self.reference.counts['not claimed'] += 1
        return result

    async def _end(
        self,
        claims: ShardedClaimStore,
        request: ClaimRequest,
        claimed: Claimed,
    ) -> None:
        known = self.reference.newest_claims[request.key]
        draw = self.rng.randrange(10)
        with anyio.move_on_after(1):
            if draw < 5:
                known.released = True
                await claims.release(claimed)
            elif draw < 8:
                self.reference.finished.add(request.key)
                await claims.finish(claimed, ClaimOutcome.FINISHED)
            elif draw < 9:
                await claims.finish(claimed, ClaimOutcome.UNKNOWN)


def run_seed(seed: int, callers: int = 400, entries: int = 4) -> RandomRun:
    """Run one seed on virtual time."""

    async def main() -> RandomRun:
        return await RandomRun(seed, callers, entries).run()

    return run_virtually(main)
