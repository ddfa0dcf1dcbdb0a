"""Run the soak: ``python -m benchmarks.soak --seeds 1 2 3 --seconds 20``."""

from __future__ import annotations

import asyncio
import os
import sys
from argparse import ArgumentParser
from contextlib import suppress

from benchmarks.soak.callers import Caller, Ledger
from benchmarks.soak.faults import Faults
from benchmarks.soak.world import World, free_net

CALLERS = 24
START_SECONDS = 2.5
CALM_SECONDS = 8.0
"""After the last fault: restarts, breakers and caches of both ends settle."""
_SERVED_PART = 0.9


async def soak(seed: int, seconds: float) -> list[str]:
    """Play one seed.

    :return: the promises that were broken, each in a line.
    """
    net = free_net(seed + os.getpid())
    async with World(net, entries=3, models=3, plain=2) as world:
        await asyncio.sleep(START_SECONDS)
        ledger = Ledger()
        faults = Faults(world, seed)
        callers = [
            asyncio.create_task(Caller(world, ledger, number).run())
            for number in range(CALLERS)
        ]
        await faults.run(seconds)
        await asyncio.sleep(CALM_SECONDS)
        after = await _calm(ledger)
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        ledger.check(world.runs)
        ledger.broken.extend(world.late_runs())
        told = dict(ledger.told.most_common())
        sys.stdout.write(
            f'seed {seed}: {len(faults.done)} faults, told {told},'
            f' slowest {ledger.slowest_seconds:.1f} s\n',
        )
        if after < _SERVED_PART:
            ledger.broken.append(f'only {after:.2f} served after all faults')
        return ledger.broken


async def _calm(ledger: Ledger) -> float:
    """Tell which part is served when no fault is left."""
    before = ledger.told.copy()
    await asyncio.sleep(3)
    new = ledger.told - before
    return new['200 whole'] / max(1, sum(new.values()))


def main() -> int:
    """Play the seeds one after the other."""
    parser = ArgumentParser()
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--seconds', type=float, default=20)
    options = parser.parse_args()
    broken: list[str] = []
    for seed in options.seeds:
        found = asyncio.run(soak(seed, options.seconds))
        broken.extend(f'seed {seed}: {text}' for text in found)
    for text in broken:
        sys.stdout.write(f'BROKEN {text}\n')
    return bool(broken)


if __name__ == '__main__':
    with suppress(KeyboardInterrupt):
        sys.exit(main())
