"""Command: inject all faults, two at a time, and check callers' responses.

Run ``python -m benchmarks.chaos --help`` at the root of the repository.
"""

from __future__ import annotations

import argparse
import json
import logging
import sys
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from types import MappingProxyType

from benchmarks.chaos.checker import Verdicts
from benchmarks.chaos.processes.run import run_seed as run_processes
from benchmarks.chaos.virtual.run import run_seed as run_virtual

LEVELS: Mapping[str, Callable[[int, int], Verdicts]] = MappingProxyType(
    {'virtual': run_virtual, 'processes': run_processes},
)
COLUMNS = (
    'requests',
    'executions',
    'lost',
    'doubled',
    'wrong',
    'false_not_run',
    'leaked',
    'internal',
    'starved',
)


@dataclass(frozen=True, slots=True)
class Job:
    """One seed of one level."""

    level: str
    seed: int
    requests: int


def run_job(job: Job) -> Verdicts:
    """Run one seed in a worker process."""
    logging.disable(logging.WARNING)
    return LEVELS[job.level](job.seed, job.requests)


def parse() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.chaos')
    parser.add_argument(
        'level',
        choices=tuple(LEVELS),
        help='virtual: all daemons in one process, virtual time, fake'
        ' connections; processes: real ones on loopback, through relays',
    )
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument(
        '--requests',
        type=int,
        default=5000,
        help='for each seed',
    )
    parser.add_argument('--jobs', type=int, default=1)
    return parser.parse_args()


def row(cells: Sequence[object]) -> str:
    """Format one row of a Markdown table."""
    text = ' | '.join(map(str, cells))
    return f'| {text} |'


def line(seed: int, verdicts: Verdicts) -> str:
    """Format the figures of one seed."""
    figures = [getattr(verdicts, name) for name in COLUMNS]
    wait = f'{verdicts.longest_wait_seconds:.1f}'
    return row((seed, *figures, verdicts.faults.total(), wait))


def main() -> int:
    """Run all seeds, print a table and one line of JSON for each.

    :return: the exit code, 1 if a guarantee was violated.
    """
    options = parse()
    jobs = [
        Job(options.level, seed, options.requests) for seed in options.seeds
    ]
    print(row(('seed', *COLUMNS, 'faults', 'longest wait')))
    print(row(['---' for _ in range(len(COLUMNS) + 3)]))
    found: list[Verdicts] = []
    with ProcessPoolExecutor(options.jobs) as workers:
        for verdicts in workers.map(run_job, jobs):
            print(line(jobs[len(found)].seed, verdicts), flush=True)
            found.append(verdicts)
    for job, seen in zip(jobs, found, strict=True):
        content = {'level': job.level, 'seed': job.seed}
        print(json.dumps({**content, **seen.as_content()}))
    return int(any(one.has_violations for one in found))


if __name__ == '__main__':
    sys.exit(main())
