"""Two sides that order one server, with pauses, on virtual time."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

import anyio

from sardinetrack.lease.decision import Lease
from sardinetrack.lease.keeper import LeaseKeeper
from sardinetrack.standin.fencing import Fence
from sardinetrack.store.api import PlatformError
from support.shaky_platform import Odds, Road, ShakyPlatform
from support.virtual_time import run_virtually

_SECONDS = 10.0
_MARGIN_SECONDS = 2.0
_LONGEST_SEND_SECONDS = 0.5
"""A pause between check and send longer than the margin can't be met."""


@dataclass
class OrderRun:
    """One seed."""

    seed: int
    checks: bool
    accepted: list[tuple[int, str]] = field(default_factory=list)
    seen: Counter[str] = field(default_factory=Counter)

    async def run(self) -> None:
        """Let both sides order for a while."""
        self.chance = random.Random(self.seed)
        self.fence = Fence(checks=self.checks)
        road = Road()
        async with anyio.create_task_group() as tasks:
            for name in ('a', 'b'):
                odds = Odds(
                    refused=0.05,
                    lost_reply=0.2,
                    late_write=0.1,
                    latency_seconds=0.1,
                )
                platform = ShakyPlatform(road, odds, self.chance, tasks)
                tasks.start_soon(self._side, name, platform)
            await anyio.sleep(200)
            tasks.cancel_scope.cancel()

    async def _side(self, name: str, platform: ShakyPlatform) -> None:
        lease = Lease(
            name,
            duration_seconds=_SECONDS,
            margin_seconds=_MARGIN_SECONDS,
        )
        keeper = LeaseKeeper(platform, 'leases/p/s', lease)
        while True:
            with suppress(PlatformError):
                await keeper.acquire(checks_fencing=self.checks)
                await self._pause()
                await self._order(name, lease)
            await self._pause()

    async def _order(self, name: str, lease: Lease) -> None:
        if lease.seconds_left(anyio.current_time()) <= 0:
            self.seen['held back'] += 1
            return
        await anyio.sleep(self.chance.uniform(0, _LONGEST_SEND_SECONDS))
        if self.fence.admits(lease.fencing):
            self.accepted.append((lease.fencing, name))
        else:
            self.seen['refused'] += 1
            lease.superseded()

    async def _pause(self) -> None:
        longest = self.chance.choice((0.1, 1, 30))
        await anyio.sleep(self.chance.uniform(0, longest))


def run_seed(seed: int, *, checks: bool) -> OrderRun:
    """Run one seed on virtual time."""
    run = OrderRun(seed, checks)
    run_virtually(run.run)
    return run
