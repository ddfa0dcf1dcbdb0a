"""Entries that claim keys in one store in memory, on virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

import anyio

from sardinetrack.entry.claims import (
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimStoreUnavailableError,
)
from sardinetrack.once.claims import ClaimSettings, ShardedClaimStore
from sardinetrack.once.shard import BatchDelays
from support.faulty_platform import FaultRates, FaultyPlatform, SharedStore
from support.virtual_time import VirtualTimeLoop

SETTLED_SECONDS = 60.0
RETENTION_SECONDS = 600.0


class ClaimsWorld:
    """The entries, the store and the event loop of a scenario."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.shared_store = SharedStore()
        self.rng = random.Random(1)
        self.shards = 1
        self.max_head_bytes = 65_536
        self.end_delay_seconds = 0.5
        self.entries: dict[str, ShardedClaimStore] = {}
        self.platforms: dict[str, FaultyPlatform] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.claimed: dict[str, Claimed] = {}
        self.results: list[str] = []
        self.errors: list[ClaimStoreUnavailableError] = []
        self._attempts = 0

    def close(self) -> None:
        """Kill all entries and close the event loop."""
        for name in tuple(self.tasks):
            self.kill(name)
        self.runner.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the scenario's event loop."""
        return self.runner.run(coroutine)

    def pass_time(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(anyio.sleep(seconds))

    def start(self, name: str) -> None:
        """Start an entry with an empty cache."""
        self.run(self._start(name))

    def kill(self, name: str) -> None:
        """Stop an entry before it can write anything more."""
        self.run(self._kill(self.tasks.pop(name)))

    def claim(self, name: str, key: str, *, body: str = 'body') -> None:
        """Claim a key through an entry and store the result's name."""
        self.run(self.claim_once(name, key, body))

    def claim_all(self, requests: list[tuple[str, str]]) -> None:
        """Claim keys at the same moment."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for name, key in requests:
                    tasks.start_soon(self.claim_once, name, key)

        self.run(main())

    def end_claim(self, name: str, key: str, outcome: str) -> None:
        """End a claim."""
        claims, claimed = self.entries[name], self.claimed[key]

        async def main() -> None:
            with anyio.move_on_after(5):
                if outcome == 'released':
                    await claims.release(claimed)
                else:
                    await claims.finish(claimed, ClaimOutcome(outcome))

        self.run(main())

    async def claim_once(
        self,
        name: str,
        key: str,
        body: str = 'body',
    ) -> ClaimResult | None:
        """Claim a key and store the result's name."""
        self._attempts += 1
        request = ClaimRequest(
            'pilot',
            key,
            body,
            f'attempt-{self._attempts}',
            SETTLED_SECONDS,
        )
        try:
            result = await self.entries[name].claim(request)
        except ClaimStoreUnavailableError as error:
            self.errors.append(error)
            self.results.append('not claimed')
            return None
        if isinstance(result, Claimed):
            self.claimed[key] = result
        self.results.append(type(result).__name__)
        return result

    async def _start(self, name: str) -> None:
        started = anyio.Event()
        task = asyncio.create_task(self._serve(name, started))
        self.tasks[name] = task
        await started.wait()

    async def _serve(self, name: str, started: anyio.Event) -> None:
        settings = ClaimSettings(
            shards=self.shards,
            key_retention_seconds=RETENTION_SECONDS,
            max_head_bytes=self.max_head_bytes,
            batch_delays=BatchDelays(end_delay_seconds=self.end_delay_seconds),
        )
        async with anyio.create_task_group() as background:
            platform = FaultyPlatform(
                self.shared_store,
                FaultRates(),
                self.rng,
                background,
            )
            async with ShardedClaimStore(
                platform,
                settings,
                wall_clock=anyio.current_time,
                jitter_rng=self.rng,
            ) as claims:
                self.entries[name] = claims
                self.platforms[name] = platform
                started.set()
                await anyio.sleep_forever()

    async def _kill(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
