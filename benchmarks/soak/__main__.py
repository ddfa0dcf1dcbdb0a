"""Run the soak: ``python -m benchmarks.soak --seeds 1 2 3 --seconds 20``."""

from __future__ import annotations

import asyncio
import os
import sys
from argparse import ArgumentParser
from collections import Counter
from contextlib import suppress

from benchmarks.soak.callers import Caller, ResponseLog
from benchmarks.soak.faults import Faults
from benchmarks.soak.leavings import Leavings, late_requests
from benchmarks.soak.losses import losses
from benchmarks.soak.planned import PlannedWork
from benchmarks.soak.starts import Starts, own_ends
from benchmarks.soak.world import DEFAULTS, Options, World, free_net

_CALLERS_PER_ENTRY = 8
START_SECONDS = 2.5
SETTLE_SECONDS = 8.0
"""Time after the last fault for restarts, circuit breakers and caches of both
ends to settle."""
_MIN_SERVED_FRACTION = 0.9
_RELEASE_SECONDS = 0.5
"""Time to free the copies after the callers have gone; entries wait 0.3 s."""


async def soak(
    seed: int, seconds: float, options: Options = DEFAULTS
) -> list[str]:
    """Run one seed.

    :return: the violated guarantees, one text each.
    """
    net = free_net(seed + os.getpid())
    async with World(net, seed, options) as world:
        await asyncio.sleep(START_SECONDS)
        log = ResponseLog()
        injectors = _injectors(world, seed, options)
        callers = [
            asyncio.create_task(Caller(world, log, number).run())
            for number in range(_CALLERS_PER_ENTRY * options.entries)
        ]
        await asyncio.gather(*(one.run(seconds) for one in injectors))
        await asyncio.sleep(SETTLE_SECONDS)
        # Nothing else disturbs the moves whose copies are checked below.
        busiest = max(world.engines, key=lambda one: len(one.running()))
        world.list_server(busiest, 'draining')
        busiest.leave()
        served = await _served_fraction(log)
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(_RELEASE_SECONDS)
        excuses = await _check(log, world)
        done = sum(len(one.done) for one in injectors)
        _print_run(f'seed {seed}: {done} faults', log, world, excuses)
        if options.starts:
            log.violations.extend(own_ends(world))
        if served < _MIN_SERVED_FRACTION:
            log.violations.append(f'only {served:.2f} served after all faults')
        return log.violations


def _injectors(world: World, seed: int, options: Options) -> list[Faults]:
    if options.leavings:
        return [Leavings(world, seed, options.trouble)]
    injectors: list[Faults] = [PlannedWork(world, seed)]
    if options.starts:
        injectors.append(Starts(world, seed))
    if not options.planned_only:
        injectors.append(Faults(world, seed))
    return injectors


async def _check(log: ResponseLog, world: World) -> Counter[str]:
    """Check what callers and servers have seen.

    :return: number of requests without a complete response, by excuse.
    """
    excuses, lost = losses(log.cuts, world)
    log.check(world.runs)
    log.violations.extend(lost)
    log.violations.extend(world.moves.violations())
    log.violations.extend(await world.uncounted_streams())
    log.violations.extend(world.runs_after_revocation())
    counts, late = late_requests(log.taken, world)
    log.late.update(counts)
    log.violations.extend(late)
    return excuses


def _print_run(
    run: str, log: ResponseLog, world: World, excuses: Counter[str]
) -> None:
    sys.stdout.write(
        f'{run}, told {dict(log.responses.most_common())},'
        f' cut, by excuse {dict(excuses)},'
        f' late {dict(log.late)},'
        f' moves {dict(world.moves.counts)},'
        f' deadly {dict(world.moves.deadly.crashes)},'
        f' slowest {log.slowest_seconds:.1f} s\n',
    )


async def _served_fraction(log: ResponseLog) -> float:
    """Return the fraction served while no fault is active."""
    before = log.responses.copy()
    await asyncio.sleep(3)
    new = log.responses - before
    return new['200 whole'] / max(1, sum(new.values()))


def main() -> int:
    """Run the seeds one after the other."""
    parser = ArgumentParser()
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument(
        '--planned-only',
        action='store_true',
        help='do only planned work, and silence servers',
    )
    parser.add_argument(
        '--starts',
        action='store_true',
        help='disturb starts too; no process may end by itself',
    )
    parser.add_argument(
        '--leavings',
        action='store_true',
        help='let servers leave beside trouble of the store, and nothing else',
    )
    parser.add_argument('--trouble', default='', help='the only one')
    parser.add_argument('--entries', type=int, default=DEFAULTS.entries)
    parser.add_argument('--sides', type=int, default=DEFAULTS.sides)
    parser.add_argument('--logs', default='', help='folder for the logs')
    arguments = parser.parse_args()
    options = Options(
        arguments.entries,
        arguments.sides,
        arguments.planned_only,
        arguments.starts,
        arguments.logs,
        arguments.leavings,
        arguments.trouble,
    )
    violations: list[str] = []
    for seed in arguments.seeds:
        found = asyncio.run(soak(seed, arguments.seconds, options))
        violations.extend(f'seed {seed}: {text}' for text in found)
    for text in violations:
        sys.stdout.write(f'BROKEN {text}\n')
    return bool(violations)


if __name__ == '__main__':
    with suppress(KeyboardInterrupt):
        sys.exit(main())
