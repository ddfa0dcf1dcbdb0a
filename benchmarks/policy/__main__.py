"""Command: measure the policy and naive policies, and print a table.

Run ``python -m benchmarks.policy --help`` at the root of the repository.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from types import MappingProxyType

from tests.naive import FirstComePolicy, PerEntryPolicy

from benchmarks.policy.fair import FairPolicy
from benchmarks.policy.faults import FAULTS
from benchmarks.policy.nodes import Policy
from benchmarks.policy.run import Figures, run_case
from benchmarks.policy.shapes import DEPLOYMENTS, Deployment

POLICIES: Mapping[str, type[Policy]] = MappingProxyType(
    {
        'fair': FairPolicy,
        'first come': FirstComePolicy,
        'per entry': PerEntryPolicy,
    },
)
NAIVE_CASES = ('none', 'flood')
CASES = (*FAULTS, 'flood', 'same minute')
HEAD = (
    'pool',
    'case',
    'policy',
    'gap',
    'after',
    'bound',
    'idle %',
    'messages',
    'bytes',
    'us',
    'p50',
    'p95',
    'p99',
    'busy %',
)


@dataclass(frozen=True, slots=True)
class Job:
    """One run."""

    shape: Deployment
    case: str
    policy: str
    seed: int


def run_job(job: Job) -> Figures:
    """Run one seed in a worker process."""
    return run_case(job.shape, POLICIES[job.policy](), job.case, job.seed)


def percentile(waits: Sequence[float], fraction: float) -> float:
    """Return a percentile of some waits, given as a fraction."""
    ordered = sorted(waits)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def mean(values: Sequence[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)


def line(job: Job, figures: Sequence[Figures]) -> str:
    """Format one row: the worst gaps over the seeds, means of the rest."""
    waits = [wait for one in figures for wait in one.pilot_waits]
    numbers = (
        max(one.gap for one in figures),
        max(one.gap_after for one in figures),
        max(one.bound for one in figures),
        100 * max(one.idle for one in figures),
        mean([one.messages for one in figures]),
        mean([one.message_bytes for one in figures]),
        mean([one.decision_microseconds for one in figures]),
        percentile(waits, 0.5),
        percentile(waits, 0.95),
        percentile(waits, 0.99),
        100 * mean([one.busy for one in figures]),
    )
    cells = [f'{number:.2f}' for number in numbers]
    return row((job.shape.pool, job.case, job.policy, *cells))


def row(cells: Sequence[str]) -> str:
    """Format one row of a Markdown table."""
    text = ' | '.join(cells)
    return f'| {text} |'


def selected(options: argparse.Namespace) -> list[tuple[Deployment, str, str]]:
    """Return the selected rows: shape, case and policy."""
    shapes = [one for one in DEPLOYMENTS if one.pool in options.pool]
    naive_cases = () if options.fair else NAIVE_CASES
    return [
        (shape, case, policy)
        for shape, case, policy in product(shapes, options.case, POLICIES)
        if policy == 'fair' or case in naive_cases
    ]


def parse() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks.policy')
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--jobs', type=int, default=4)
    pools = [shape.pool for shape in DEPLOYMENTS]
    parser.add_argument('--pool', nargs='+', choices=pools, default=pools)
    parser.add_argument('--case', nargs='+', choices=CASES, default=CASES)
    parser.add_argument('--fair', action='store_true', help='no naive runs')
    return parser.parse_args()


def main() -> None:
    """Run everything and print each row when it is complete."""
    options = parse()
    print(f'{options.seeds} seeds; gap, after and idle are of the worst one.')
    print('Gaps in largest costs; waits of the lone pilot in mean run times.')
    print(row(HEAD))
    print(row(['---' for _ in HEAD]))
    with ProcessPoolExecutor(options.jobs) as workers:
        for shape, case, policy in selected(options):
            jobs = [
                Job(shape, case, policy, seed) for seed in range(options.seeds)
            ]
            figures = list(workers.map(run_job, jobs))
            print(line(jobs[0], figures), flush=True)


if __name__ == '__main__':
    main()
