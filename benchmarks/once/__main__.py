"""Print the calls for each claim by rate and number of entries.

Run ``python -m benchmarks.once`` from the root of the repository. It uses
virtual time, so that it is fast and its figures are reproducible.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, field
from itertools import product

import anyio
from tests.support.faulty_platform import (
    FaultRates,
    FaultyPlatform,
    SharedStore,
)
from tests.support.virtual_time import run_virtually

from sardinetrack.entry.claims import (
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimStore,
    ClaimStoreUnavailableError,
)
from sardinetrack.once.claims import ClaimSettings, ShardedClaimStore

_RATES = (1, 10, 100)
_ENTRIES = (1, 2, 4, 8)
_CLAIMS = 3000
_MIN_SECONDS = 30
_MAX_SECONDS = 600
_RUN_SECONDS = 5
_LATENCY_SECONDS = 0.005
_SEED = 11
_MILLISECONDS = 1000
_PERCENTILE = 0.99
_ROW = '{:4} {:7} {:6.2f} {:5.2f} {:8.1f} {:7.1f} {:7}\n'


@dataclass
class Load:
    """Load on one shard from callers that are spread over entries."""

    rate: int
    entries: int
    store: SharedStore = field(default_factory=SharedStore)
    rng: random.Random = field(default_factory=lambda: random.Random(_SEED))
    waited_seconds: list[float] = field(default_factory=list)
    refused: int = 0

    async def run(self) -> None:
        """Send claims and count the calls."""
        async with anyio.create_task_group() as tasks:
            claim_stores = [
                await tasks.start(self._entry) for _ in self._entry_numbers()
            ]
            await self._send_claims(claim_stores)
            tasks.cancel_scope.cancel()

    def _entry_numbers(self) -> range:
        return range(self.entries)

    async def _send_claims(self, claim_stores: list[ClaimStore]) -> None:
        async with anyio.create_task_group() as callers:
            for number in range(self._claim_count()):
                entry = self.rng.choice(claim_stores)
                callers.start_soon(self._caller, entry, number)
                await anyio.sleep(self.rng.expovariate(self.rate))

    def _claim_count(self) -> int:
        minimum, maximum = self.rate * _MIN_SECONDS, self.rate * _MAX_SECONDS
        return min(max(_CLAIMS, minimum), maximum)

    async def _entry(self, *, task_status: anyio.abc.TaskStatus) -> None:
        rates = FaultRates(latency_seconds=_LATENCY_SECONDS)
        platform = FaultyPlatform(self.store, rates, self.rng)
        async with ShardedClaimStore(
            platform,
            ClaimSettings(shards=1),
            wall_clock=anyio.current_time,
            jitter_rng=self.rng,
        ) as claims:
            task_status.started(claims)
            await anyio.sleep_forever()

    async def _caller(self, claims: ClaimStore, number: int) -> None:
        request = ClaimRequest('w', f'k{number}', 'h', f'a{number}', 700)
        began = anyio.current_time()
        try:
            claimed = await claims.claim(request)
        except ClaimStoreUnavailableError:
            self.refused += 1
            return
        assert isinstance(claimed, Claimed), claimed
        self.waited_seconds.append(anyio.current_time() - began)
        await anyio.sleep(self.rng.expovariate(1 / _RUN_SECONDS))
        await claims.finish(claimed, ClaimOutcome.FINISHED)


def main() -> None:
    """Print one line for each rate and number of entries."""
    sys.stdout.write('rate entries writes reads  mean ms  p99 ms refused\n')
    for rate, entries in product(_RATES, _ENTRIES):
        load = Load(rate, entries)
        run_virtually(load.run)
        sys.stdout.write(_line(load))
        sys.stdout.flush()


def _line(load: Load) -> str:
    waited = sorted(load.waited_seconds)
    claims = len(waited)
    calls = load.store.calls
    mean_ms = sum(waited) / claims * _MILLISECONDS
    late_ms = waited[int(claims * _PERCENTILE)] * _MILLISECONDS
    figures = (
        load.rate,
        load.entries,
        calls['put'] / claims,
        calls['get'] / claims,
        mean_ms,
        late_ms,
        load.refused,
    )
    return _ROW.format(*figures)


if __name__ == '__main__':
    main()
