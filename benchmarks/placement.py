"""Measure the choice of a server: ``python -m benchmarks.placement``.

Prints the microseconds to rank the servers of a pool, at the sizes of the
users' deployments (9 and 24 engines) and of the planned pools (420): for a
route without a pause objective, with one while no pace is known, with one at
engines whose pace is known, and at engines of different rates. Then those to
build one candidate as it is and as a frozen data class would be.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import cycle
from statistics import median
from timeit import repeat

from sardinetrack.placement.choice import Candidate, rank_by_prefix
from sardinetrack.placement.load import FIRST_RATE, EstimatedLoad
from sardinetrack.placement.prompt import Prompt, PromptBlock
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.topology.servers import BackendServer

_SIZES = (9, 24, 420)
_NUMBER = 300
_REPEATS = 5
_MICROSECONDS = 1e6
_GAP_SECONDS = 0.3
_PACE = StepPace(6, 0.0055, 0.058)
_STREAMS = 12
_RATES = (90_000, 45_000, 40_000)
_PORT = 80
_PROMPT = Prompt(
    (PromptBlock('a', 512), PromptBlock('b', 4870), PromptBlock('c', 6610)),
    11_992,
    400,
)


@dataclass(frozen=True, slots=True)
class _Frozen:
    server: BackendServer
    wait_seconds: float
    cost_seconds: float
    new_tokens: int
    again_tokens: int = 0


def _microseconds(action: Callable[[], object]) -> float:
    runs = repeat(action, number=_NUMBER, repeat=_REPEATS)
    return median(runs) / _NUMBER * _MICROSECONDS


def _server(number: int) -> BackendServer:
    net, host = divmod(number, 250)
    ip = f'10.0.{net}.{host}'
    return BackendServer(f'i-{number}', 'm', ip, _PORT, 'a', 64, leaving=False)


def _prepare_ranking(
    size: int,
    gap_seconds: float = 0,
    pace: StepPace | None = None,
    rates: Sequence[float] = (FIRST_RATE,),
) -> Callable[[], object]:
    servers = [_server(number) for number in range(size)]
    loads = {
        one.instance: EstimatedLoad(rate_tokens=rate)
        for one, rate in zip(servers, cycle(rates), strict=False)
    }
    if pace is not None:
        for load in loads.values():
            load.pace = pace
            load.streams = _STREAMS
    caching_servers = (servers[0].ip,)
    return lambda: rank_by_prefix(
        _PROMPT, servers, loads, caching_servers, gap_seconds
    )


def _write_order(label: str, size: int, action: Callable[[], object]) -> None:
    took = _microseconds(action)
    sys.stdout.write(f'order of {size} servers{label}: {took:.1f} us\n')


def main() -> int:
    """Print the table."""
    for size in _SIZES:
        _write_order('', size, _prepare_ranking(size))
        _write_order(', objective', size, _prepare_ranking(size, _GAP_SECONDS))
        _write_order(
            ', objective and pace',
            size,
            _prepare_ranking(size, _GAP_SECONDS, _PACE),
        )
        _write_order(', rates', size, _prepare_ranking(size, rates=_RATES))
    server = _server(1)
    for kind in (Candidate, _Frozen):
        took = _microseconds(partial(kind, server, 0, 0, 0, 0))
        sys.stdout.write(f'one {kind.__name__}: {took:.2f} us\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
