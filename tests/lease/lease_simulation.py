"""Two sides that send commands to one server, with pauses, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

import anyio

from sardinetrack.lease.decision import Lease
from sardinetrack.lease.manager import LeaseManager
from sardinetrack.standin.fencing import FencingCheck
from sardinetrack.store.api import PlatformError
from support.faulty_platform import FaultRates, FaultyPlatform, SharedStore
from support.virtual_time import run_virtually

_LEASE_SECONDS = 10.0
_MARGIN_SECONDS = 2.0
_MAX_SEND_SECONDS = 0.5
"""A delay between check and send beyond the margin can't be detected."""


@dataclass
class LeaseSimulation:
    """Simulates two sides with one seed."""

    seed: int
    checks: bool
    accepted: list[tuple[int, str]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    async def run(self) -> None:
        """Let both sides send commands for 200 seconds."""
        self.rng = random.Random(self.seed)
        self.fencing_check = FencingCheck(checks=self.checks)
        road = SharedStore()
        async with anyio.create_task_group() as tasks:
            for name in ('a', 'b'):
                odds = FaultRates(
                    refused=0.05,
                    lost_reply=0.2,
                    late_write=0.1,
                    latency_seconds=0.1,
                )
                platform = FaultyPlatform(road, odds, self.rng, tasks)
                tasks.start_soon(self._side, name, platform)
            await anyio.sleep(200)
            tasks.cancel_scope.cancel()

    async def _side(self, name: str, platform: FaultyPlatform) -> None:
        lease = Lease(
            name,
            duration_seconds=_LEASE_SECONDS,
            margin_seconds=_MARGIN_SECONDS,
        )
        lease_manager = LeaseManager(platform, 'leases/p/s', lease)
        while True:
            with suppress(PlatformError):
                await lease_manager.acquire(checks_fencing=self.checks)
                await self._pause()
                await self._send_command(name, lease)
            await self._pause()

    async def _send_command(self, name: str, lease: Lease) -> None:
        if lease.seconds_left(anyio.current_time()) <= 0:
            self.counts['commands withheld'] += 1
            return
        await anyio.sleep(self.rng.uniform(0, _MAX_SEND_SECONDS))
        if self.fencing_check.admits(lease.fencing_token):
            self.accepted.append((lease.fencing_token, name))
        else:
            self.counts['refused'] += 1
            lease.mark_superseded()

    async def _pause(self) -> None:
        maximum = self.rng.choice((0.1, 1, 30))
        await anyio.sleep(self.rng.uniform(0, maximum))


def run_seed(seed: int, *, checks: bool) -> LeaseSimulation:
    """Run one seed in virtual time."""
    run = LeaseSimulation(seed, checks)
    run_virtually(run.run)
    return run
