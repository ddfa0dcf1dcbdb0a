"""A seeded run of callers, entries and faults against a naive dictionary."""

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
    ClaimAnswer,
    Claimed,
    ClaimEnd,
    ClaimRequest,
    ClaimsDownError,
    Mismatch,
    OutcomeLost,
)
from sardinetrack.once.claims import ClaimSettings, ShardedClaims
from support.shaky_platform import Odds, Road, ShakyPlatform
from support.virtual_time import run_virtually

SKEW_SECONDS = 5.0
KEEP_SECONDS = (40.0, 200.0)
"""By seed: keys are used again after their time, or not."""
SETTLED_SECONDS = 10.0
_KEYS = 30
_HASHES = ('one', 'one', 'one', 'one', 'other')


@dataclass
class Holder:
    """What the naive dictionary knows of the newest claim of a key."""

    request: ClaimRequest
    claimed_at: float
    released: bool = False

    def is_over(self, now: float, keep_seconds: float) -> bool:
        """Whether the key may be claimed by another attempt."""
        kept_seconds = SETTLED_SECONDS + keep_seconds - 2 * SKEW_SECONDS
        return self.released or now >= self.claimed_at + kept_seconds


@dataclass
class Naive:
    """A dictionary that sees every claim and end at its instant."""

    keep_seconds: float
    holders: dict[str, Holder] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    finished: set[str] = field(default_factory=set)
    seen: Counter[str] = field(default_factory=Counter)

    def check(self, request: ClaimRequest, answer: ClaimAnswer) -> None:
        """Compare an answer with what may be true."""
        self.seen[type(answer).__name__] += 1
        now = anyio.current_time()
        holder = self.holders.get(request.key)
        match answer:
            case Claimed():
                assert holder is None or holder.is_over(
                    now, self.keep_seconds
                ), f'{request} claimed beside {holder} at {now}'
                self.holders[request.key] = Holder(request, now)
            case AlreadyFinished():
                assert request.key in self.finished, request
            case AlreadyRunning() | OutcomeLost() | Mismatch():
                assert request.key in self.asked, (request, answer)


class EntryStub:
    """An entry that crashes and comes back empty."""

    def __init__(self, run: RandomRun, number: int) -> None:
        self.claims: ShardedClaims | None = None
        self.platform = run.platform()
        self._run = run
        self._skew = run.chance.uniform(-SKEW_SECONDS, SKEW_SECONDS)
        self._lives = [run.chance.uniform(3, 40) for _ in range(50)]

    async def live(self) -> None:
        """Serve lives of random length."""
        for seconds in self._lives:
            with anyio.move_on_after(seconds):
                await self._serve()
            self.claims = None
            self._run.naive.seen['crash'] += 1
            await anyio.sleep(1)

    async def _serve(self) -> None:
        settings = ClaimSettings(
            shards=2,
            keep_seconds=self._run.naive.keep_seconds,
            head_bytes=1_500,
        )
        chance = random.Random(self._run.chance.random())
        async with ShardedClaims(
            self.platform,
            settings,
            wall_clock=self._wall_clock,
            chance=chance,
        ) as claims:
            self.claims = claims
            await anyio.sleep_forever()

    def _wall_clock(self) -> float:
        return anyio.current_time() + self._skew


class RandomRun:
    """All coroutines of one seed."""

    def __init__(self, seed: int, callers: int, entries: int) -> None:
        self.chance = random.Random(seed)
        self.naive = Naive(KEEP_SECONDS[seed % len(KEEP_SECONDS)])
        self.road = Road()
        self._entries: list[EntryStub] = []
        self._callers = callers
        self._entry_count = entries
        self._tasks: TaskGroup

    async def run(self) -> RandomRun:
        """Let all callers come, then end everything."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for number in range(self._entry_count):
                entry = EntryStub(self, number)
                self._entries.append(entry)
                tasks.start_soon(entry.live)
            tasks.start_soon(self._disturb)
            async with anyio.create_task_group() as callers:
                for number in range(self._callers):
                    callers.start_soon(self._caller, f'attempt-{number}')
                    await anyio.sleep(self.chance.expovariate(8))
            tasks.cancel_scope.cancel()
        return self

    def platform(self) -> ShakyPlatform:
        """Build one entry's way to the store."""
        odds = Odds(
            refused=0.02,
            throttled=0.02,
            lost_reply=0.06,
            late_write=0.06,
            latency_seconds=0.05,
        )
        return ShakyPlatform(self.road, odds, self.chance, self._tasks)

    async def _disturb(self) -> None:
        while True:
            await anyio.sleep(self.chance.uniform(5, 20))
            entry = self.chance.choice(self._entries)
            if self.chance.randrange(2):
                entry.platform.cut = True
            else:
                self.road.outage = True
            await anyio.sleep(self.chance.uniform(0.2, 5))
            entry.platform.cut = False
            self.road.outage = False

    async def _caller(self, attempt_id: str) -> None:
        entry = self.chance.choice(self._entries)
        claims = entry.claims
        if claims is None:
            return
        request = ClaimRequest(
            workspace='pilot',
            key=f'key-{self.chance.randrange(_KEYS)}',
            request_hash=self.chance.choice(_HASHES) * 8,
            attempt_id=attempt_id,
            settled_within_seconds=SETTLED_SECONDS,
        )
        self.naive.asked.add(request.key)
        answer = await self._claim(claims, request)
        if isinstance(answer, Claimed):
            await anyio.sleep(self.chance.uniform(0, SETTLED_SECONDS))
            if entry.claims is claims:
                await self._end(claims, request, answer)

    async def _claim(
        self,
        claims: ShardedClaims,
        request: ClaimRequest,
    ) -> ClaimAnswer | None:
        answer: ClaimAnswer | None = None
        patience_seconds = self.chance.choice((0.05, 0.2, 30, 30, 30))
        with (
            anyio.move_on_after(patience_seconds),
            suppress(ClaimsDownError),
        ):
            answer = await claims.claim(request)
            self.naive.check(request, answer)
        if answer is None:
            self.naive.seen['not claimed'] += 1
        return answer

    async def _end(
        self,
        claims: ShardedClaims,
        request: ClaimRequest,
        claimed: Claimed,
    ) -> None:
        holder = self.naive.holders[request.key]
        fate = self.chance.randrange(10)
        with anyio.move_on_after(1):
            if fate < 5:
                holder.released = True
                await claims.release(claimed)
            elif fate < 8:
                self.naive.finished.add(request.key)
                await claims.finish(claimed, ClaimEnd.FINISHED)
            elif fate < 9:
                await claims.finish(claimed, ClaimEnd.UNKNOWN)


def run_seed(seed: int, callers: int = 400, entries: int = 4) -> RandomRun:
    """Run one seed on virtual time."""

    async def main() -> RandomRun:
        return await RandomRun(seed, callers, entries).run()

    return run_virtually(main)
