"""Measured figures, and functions that measure them."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from benchmarks.probe.table import Spread

RUNS: Final = 5
_MIN_SECONDS: Final = 0.02
_MICROSECONDS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Figure:
    """The cost of a subject at one size."""

    subject: str
    size: str
    unit: str
    cost: Spread


def processor_us(action: Callable[[], object]) -> Spread:
    """Measure the processor time of an action that may be repeated.

    :param action: repeated until the clock's resolution doesn't matter.
    :return: microseconds for each call, over several runs.
    """
    repeats = 1
    while _seconds(action, repeats) < _MIN_SECONDS:
        repeats *= 2
    return Spread.of(
        _seconds(action, repeats) / repeats * _MICROSECONDS for _ in range(RUNS)
    )


def once_us(
    prepare: Callable[[], Callable[[], object]],
    calls: int = 1,
) -> Spread:
    """Measure an action that changes its state, built again for each run.

    :param prepare: builds the state and returns the action.
    :param calls: number of calls that the action makes.
    :return: microseconds for each call.
    """
    return Spread.of(
        _seconds(prepare(), 1) / calls * _MICROSECONDS for _ in range(RUNS)
    )


def allocated_bytes(build: Callable[[], object], parts: int = 1) -> Spread:
    """Measure the memory of an object.

    :param build: returns the object.
    :param parts: number of equal parts of the object.
    :return: bytes for each part.
    """
    return Spread.of(_allocated(build) / parts for _ in range(RUNS))


def _allocated(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [build()]
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return after - before


def _seconds(action: Callable[[], object], repeats: int) -> float:
    began = time.process_time()
    for _ in range(repeats):
        action()
    return time.process_time() - began
