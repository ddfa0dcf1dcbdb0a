"""Processor time of an entry's decisions."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from copy import deepcopy
from functools import cache, partial
from typing import Final

from benchmarks.probe.table import Spread
from benchmarks.slopes import samples
from benchmarks.slopes.figure import Figure, once_us, processor_us
from sardinetrack.messages.api import Grant
from sardinetrack.routing.api import AttemptOutcome, Dispatch
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity

KNOWN: Final = (16, 850, 8500)
SIDES: Final = (1, 20, 200)
WAITING: Final = (1, 85, 850)
REPORT_ROWS: Final = (425, 850, 1700)
_CALLS: Final = 50
_FREE: Final = 100_000
_MICROSECOND: Final = 0.000001


class LoadedRouter:
    """A router with workspaces reported by peers, and sides."""

    def __init__(self, known: int, sides: int, free: int) -> None:
        """Build the state.

        :param known: number of workspaces in the ledger.
        :param sides: number of connected sides.
        :param free: number of free slots that each side reports.
        """
        self.router = Router(
            ProcessIdentity('entry-1', samples.INCARNATION),
            random.Random(7),
        )
        self.now = float(100)
        self._requests = 0
        self.router.configure(
            self.now,
            samples.workspaces(known),
            [samples.pool()],
        )
        self.router.apply_service_report(self.now, samples.report(known))
        for number in range(sides):
            info = samples.side_info(number)
            self.router.side_connected(self.now, info)
            self.router.update_side_load(
                self.now, info.side, samples.load(free)
            )

    def submit(self, workspace: int = 0) -> list[Dispatch]:
        """Submit one request; return the dispatches that follow."""
        self._requests += 1
        self.now += _MICROSECOND
        work = samples.work(self._requests, workspace)
        effects = self.router.submit(self.now, work)
        return [one for one in effects if isinstance(one, Dispatch)]

    def queue(self, workspaces: int) -> None:
        """Queue one request in each of a number of workspaces."""
        for number in range(workspaces):
            self.submit(number)

    def end(self, dispatch: Dispatch) -> None:
        """Settle an attempt."""
        self.router.settle_attempt(
            self.now,
            dispatch.attempt_id,
            AttemptOutcome.COMPLETED,
            cost=400.0,
            answered=True,
        )


@cache
def _built(known: int, sides: int, free: int) -> LoadedRouter:
    return LoadedRouter(known, sides, free)


def _copy(known: int, sides: int, free: int) -> LoadedRouter:
    """Copy a built state, as a report of 8500 workspaces takes seconds."""
    return deepcopy(_built(known, sides, free))


def measure() -> Iterator[Figure]:
    """Measure all decisions."""
    for known in KNOWN:
        size = f'{known} known, 20 sides'
        yield from _measure_requests(size, known, 20)
    for sides in SIDES:
        yield from _measure_requests(f'850 known, {sides} sides', 850, sides)
    for waiting in WAITING:
        yield from _measure_waiting(waiting)
    for known in KNOWN:
        yield from _measure_ticks(known)
    for known in REPORT_ROWS:
        spread = once_us(partial(partial, LoadedRouter, known, 20, 0))
        yield Figure('first report heard', f'{known} rows', 'us', spread)


def _measure_requests(size: str, known: int, sides: int) -> Iterator[Figure]:
    yield Figure(
        'submit, free slot',
        size,
        'us',
        once_us(partial(_prepare_submits, known, sides), _CALLS),
    )
    yield Figure(
        'ended',
        size,
        'us',
        once_us(partial(_prepare_ends, known, sides), _CALLS),
    )
    loaded = _copy(known, sides, _FREE)
    attempt_id = loaded.submit()[0].attempt_id
    yield Figure(
        'progress',
        size,
        'us',
        processor_us(
            partial(loaded.router.adjust_charge, loaded.now, attempt_id, 200.0),
        ),
    )


def _prepare_submits(known: int, sides: int) -> Callable[[], object]:
    loaded = _copy(known, sides, _FREE)
    return lambda: [loaded.submit(number % known) for number in range(_CALLS)]


def _prepare_ends(known: int, sides: int) -> Callable[[], object]:
    loaded = _copy(known, sides, _FREE)
    running = [loaded.submit(number % known)[0] for number in range(_CALLS)]
    return lambda: [loaded.end(dispatch) for dispatch in running]


def _measure_waiting(waiting: int) -> Iterator[Figure]:
    size = f'{waiting} waiting, 20 sides'
    yield Figure(
        'submit, no slot',
        size,
        'us',
        once_us(partial(_prepare_queued, waiting), _CALLS),
    )
    yield Figure('grant', size, 'us', once_us(partial(_prepare_grant, waiting)))
    loaded = _copy(850, 20, 0)
    loaded.queue(waiting)
    yield Figure(
        'bids_for',
        size,
        'us',
        processor_us(partial(loaded.router.current_bids, 'side-0')),
    )
    yield Figure('tick', size, 'us', _tick_us(loaded))


def _tick_us(loaded: LoadedRouter) -> Spread:
    return processor_us(partial(loaded.router.tick, loaded.now))


def _prepare_queued(waiting: int) -> Callable[[], object]:
    loaded = _copy(850, 20, 0)
    loaded.queue(waiting)
    return lambda: [loaded.submit(850 + number) for number in range(_CALLS)]


def _prepare_grant(waiting: int) -> Callable[[], object]:
    loaded = _copy(850, 20, 0)
    loaded.queue(waiting)
    return partial(loaded.router.grant, loaded.now, 'side-0', Grant(1, 1.0))


def _measure_ticks(known: int) -> Iterator[Figure]:
    size = f'{known} known, 20 sides'
    loaded = _copy(known, 20, 0)
    yield Figure('tick, nothing waits', size, 'us', _tick_us(loaded))
    message = samples.report(known, 'entry-2')
    loaded.router.apply_service_report(loaded.now, message)
    yield Figure(
        'peer_service',
        f'{known} rows',
        'us',
        processor_us(
            partial(loaded.router.apply_service_report, loaded.now, message)
        ),
    )
