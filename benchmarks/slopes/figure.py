"""One measured figure, and the stopwatch that takes it."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from benchmarks.probe.table import Spread

RUNS: Final = 5
_LEAST_SECONDS: Final = 0.02
_MICROSECONDS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Figure:
    """A cost at one size."""

    subject: str
    size: str
    unit: str
    cost: Spread


def processor_us(action: Callable[[], object]) -> Spread:
    """Measure the processor time of an action that may be repeated.

    :param action: repeated until the clock's resolution doesn't matter.
    :return: microseconds a call, over several runs.
    """
    repeats = 1
    while _seconds(action, repeats) < _LEAST_SECONDS:
        repeats *= 2
    return Spread.of(
        _seconds(action, repeats) / repeats * _MICROSECONDS for _ in range(RUNS)
    )


def once_us(
    prepare: Callable[[], Callable[[], object]],
    calls: int = 1,
) -> Spread:
    """Measure an action that changes its state, prepared afresh each run.

    :param prepare: builds the state and returns the action.
    :param calls: how many calls the action makes.
    :return: microseconds a call.
    """
    return Spread.of(
        _seconds(prepare(), 1) / calls * _MICROSECONDS for _ in range(RUNS)
    )


def allocated_bytes(build: Callable[[], object], parts: int = 1) -> Spread:
    """Measure the memory that stays allocated.

    :param build: returns what is to stay.
    :param parts: how many alike parts it has.
    :return: bytes a part.
    """
    return Spread.of(_allocated(build) / parts for _ in range(RUNS))


def _allocated(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = [build()]
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    held.clear()
    return after - before


def _seconds(action: Callable[[], object], repeats: int) -> float:
    began = time.process_time()
    for _ in range(repeats):
        action()
    return time.process_time() - began
