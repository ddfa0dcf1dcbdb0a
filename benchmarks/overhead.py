"""Command: the overhead of a request through entry and side.

Run ``PYTHONPATH=tests python -m benchmarks.overhead`` at the root of the
repository. Entry, sides, engines, service and platform are separate processes;
each figure is compared with the same call made directly to the backend server.
"""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from benchmarks.overhead_cases import CALLERS, ENTRY, Case, OverheadFleet
from benchmarks.probe.connection import Connection, ProbeRequest, Timing
from benchmarks.probe.table import Spread, print_json, print_table
from support.fleet import Fleet

WARM_UP_CALLS: Final = 30
HEAD: Final = (
    'case',
    'added ms (aim < 5)',
    'first token ratio',
    'whole ratio',
    'requests/s',
    'of direct',
    'cpu ms alone',
    'cpu ms busy (aim < 4)',
    'entry',
    'side',
)


@dataclass(frozen=True, slots=True)
class Load:
    """Figures under the load of several callers, each in a closed loop."""

    per_second: float
    entry_ms: float
    side_ms: float


@dataclass(frozen=True, slots=True)
class Run:
    """Figures of one repetition of one case."""

    added_ms: float
    first_ratio: float
    whole_ratio: float
    per_second: float
    part_of_direct: float
    alone_ms: float
    busy_ms: float
    entry_ms: float
    side_ms: float


def measure(bench: OverheadFleet, case: Case, calls: int) -> Run:
    """Measure one case once.

    :param calls: sequential calls on each path, direct and routed.
    """
    entry_url = bench.fleet.url(ENTRY)
    with (
        Connection(case.direct_url, case.direct) as direct,
        Connection(entry_url, case.routed) as routed,
    ):
        _warm_up(direct, routed)
        direct_times, routed_times = _alternate(direct, routed, calls)
        alone = _measure_alone(bench, case, routed, calls)
    direct_load = _measure_load(
        bench, case, case.direct_url, case.direct, calls
    )
    load = _measure_load(bench, case, entry_url, case.routed, calls)
    added_seconds = _median_complete(routed_times) - _median_complete(
        direct_times
    )
    return Run(
        added_ms=1000 * added_seconds,
        first_ratio=_median_first_token(routed_times)
        / _median_first_token(direct_times),
        whole_ratio=_median_complete(routed_times)
        / _median_complete(direct_times),
        per_second=load.per_second,
        part_of_direct=load.per_second / direct_load.per_second,
        alone_ms=alone,
        busy_ms=load.entry_ms + load.side_ms,
        entry_ms=load.entry_ms,
        side_ms=load.side_ms,
    )


def _warm_up(*connections: Connection) -> None:
    for connection in connections:
        for _ in range(WARM_UP_CALLS):
            connection.call()


def _alternate(
    direct: Connection,
    routed: Connection,
    calls: int,
) -> tuple[list[Timing], list[Timing]]:
    pairs = [(direct.call(), routed.call()) for _ in range(calls)]
    return [pair[0] for pair in pairs], [pair[1] for pair in pairs]


def _measure_alone(
    bench: OverheadFleet, case: Case, routed: Connection, calls: int
) -> float:
    """Return the processor milliseconds of a call while no other runs."""
    before = _both_seconds(bench, case)
    for _ in range(calls):
        routed.call()
    return 1000 * (sum(_both_seconds(bench, case)) - sum(before)) / calls


def _measure_load(
    bench: OverheadFleet,
    case: Case,
    url: str,
    request: ProbeRequest,
    calls: int,
) -> Load:
    before = _both_seconds(bench, case)
    with _callers(url, request, calls) as threads:
        started_seconds = time.perf_counter()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_seconds = time.perf_counter() - started_seconds
    after = _both_seconds(bench, case)
    total_calls = calls * CALLERS
    spent = [
        1000 * (late - early) / total_calls
        for early, late in zip(before, after, strict=True)
    ]
    return Load(total_calls / elapsed_seconds, spent[0], spent[1])


@contextmanager
def _callers(
    url: str,
    request: ProbeRequest,
    calls: int,
) -> Iterator[list[threading.Thread]]:
    with ExitStack() as stack:
        connections = [
            stack.enter_context(Connection(url, request))
            for _ in range(CALLERS)
        ]
        yield [
            threading.Thread(target=_call_repeatedly, args=(connection, calls))
            for connection in connections
        ]


def _call_repeatedly(connection: Connection, calls: int) -> None:
    for _ in range(calls):
        connection.call()


def _both_seconds(bench: OverheadFleet, case: Case) -> tuple[float, float]:
    return bench.processor_seconds(ENTRY), bench.processor_seconds(case.side)


def _median_first_token(timings: Sequence[Timing]) -> float:
    return statistics.median(one.first_seconds for one in timings)


def _median_complete(timings: Sequence[Timing]) -> float:
    return statistics.median(one.complete_seconds for one in timings)


def summary(runs: Sequence[Run]) -> dict[str, Spread]:
    """Summarise the repetitions of one case, figure by figure."""
    return {
        name: Spread.of(asdict(run)[name] for run in runs)
        for name in asdict(runs[0])
    }


def run_all(bench: OverheadFleet, repeats: int, calls: int) -> None:
    """Measure all cases and print the figures."""
    summaries = {
        case.name: summary(
            [measure(bench, case, calls) for _ in range(repeats)],
        )
        for case in bench.cases
    }
    rows = [(name, *figures.values()) for name, figures in summaries.items()]
    print_table(HEAD, rows)
    print_json(
        {
            name: {key: asdict(spread) for key, spread in figures.items()}
            for name, figures in summaries.items()
        },
    )


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--calls', type=int, default=150)
    parser.add_argument('--profile', type=Path, help='folder of profile data')
    return parser.parse_args()


def _profile_into(folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    hook = str(Path(__file__).parent / 'profiling')
    paths = [hook, os.environ.get('PYTHONPATH', '')]
    os.environ['PYTHONPATH'] = os.pathsep.join(paths)
    os.environ['BENCHMARK_PROFILE_DIR'] = str(folder.absolute())


def main() -> int:
    """Run the command."""
    options = _options()
    if options.profile:
        _profile_into(options.profile)
    with Fleet() as fleet:
        run_all(OverheadFleet(fleet), options.repeats, options.calls)
        for process in fleet.processes.values():
            process.terminate()
        for process in fleet.processes.values():
            process.wait()
    return 0


if __name__ == '__main__':
    sys.exit(main())
