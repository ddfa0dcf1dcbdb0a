"""Entries with claims on one platform in memory, on virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

import anyio

from sardinetrack.entry.claims import (
    ClaimAnswer,
    Claimed,
    ClaimEnd,
    ClaimRequest,
    ClaimsDownError,
)
from sardinetrack.once.claims import ClaimSettings, ShardedClaims
from sardinetrack.once.shard import Pace
from support.shaky_platform import Odds, Road, ShakyPlatform
from support.virtual_time import VirtualTimeLoop

SETTLED_SECONDS = 60.0
KEEP_SECONDS = 600.0


class ClaimsWorld:
    """Owns everything of a scenario."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.road = Road()
        self.chance = random.Random(1)
        self.shards = 1
        self.head_bytes = 65_536
        self.linger_seconds = 0.5
        self.entries: dict[str, ShardedClaims] = {}
        self.platforms: dict[str, ShakyPlatform] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.claimed: dict[str, Claimed] = {}
        self.answers: list[str] = []
        self.errors: list[ClaimsDownError] = []
        self._attempts = 0

    def close(self) -> None:
        """Stop all entries at once."""
        for name in tuple(self.tasks):
            self.kill(name)
        self.runner.close()

    def run(self, job: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the scenario's loop."""
        return self.runner.run(job)

    def pass_time(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(anyio.sleep(seconds))

    def start(self, name: str) -> None:
        """Start an entry that knows nothing."""
        self.run(self._start(name))

    def kill(self, name: str) -> None:
        """End an entry without a chance to write anything."""
        self.run(self._kill(self.tasks.pop(name)))

    def claim(self, name: str, key: str, *, body: str = 'body') -> None:
        """Claim a key through an entry and keep the answer."""
        self.run(self.claim_once(name, key, body))

    def claim_all(self, wishes: list[tuple[str, str]]) -> None:
        """Claim keys at the same instant."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for name, key in wishes:
                    tasks.start_soon(self.claim_once, name, key)

        self.run(main())

    def end(self, name: str, key: str, word: str) -> None:
        """End a claim."""
        claims, claimed = self.entries[name], self.claimed[key]

        async def main() -> None:
            with anyio.move_on_after(5):
                if word == 'released':
                    await claims.release(claimed)
                else:
                    await claims.finish(claimed, ClaimEnd(word))

        self.run(main())

    async def claim_once(
        self,
        name: str,
        key: str,
        body: str = 'body',
    ) -> ClaimAnswer | None:
        """Claim a key and keep the answer's name."""
        self._attempts += 1
        request = ClaimRequest(
            'pilot',
            key,
            body,
            f'attempt-{self._attempts}',
            SETTLED_SECONDS,
        )
        try:
            answer = await self.entries[name].claim(request)
        except ClaimsDownError as error:
            self.errors.append(error)
            self.answers.append('not claimed')
            return None
        if isinstance(answer, Claimed):
            self.claimed[key] = answer
        self.answers.append(type(answer).__name__)
        return answer

    async def _start(self, name: str) -> None:
        started = anyio.Event()
        task = asyncio.create_task(self._serve(name, started))
        self.tasks[name] = task
        await started.wait()

    async def _serve(self, name: str, started: anyio.Event) -> None:
        settings = ClaimSettings(
            shards=self.shards,
            keep_seconds=KEEP_SECONDS,
            head_bytes=self.head_bytes,
            pace=Pace(linger_seconds=self.linger_seconds),
        )
        async with anyio.create_task_group() as background:
            platform = ShakyPlatform(
                self.road,
                Odds(),
                self.chance,
                background,
            )
            async with ShardedClaims(
                platform,
                settings,
                wall_clock=anyio.current_time,
                chance=self.chance,
            ) as claims:
                self.entries[name] = claims
                self.platforms[name] = platform
                started.set()
                await anyio.sleep_forever()

    async def _kill(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
