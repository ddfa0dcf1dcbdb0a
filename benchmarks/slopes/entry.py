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
from sardinetrack.routing.shared import Identity

KNOWN: Final = (16, 850, 8500)
SIDES: Final = (1, 20, 200)
WAITING: Final = (1, 85, 850)
HEARD: Final = (425, 850, 1700)
_CALLS: Final = 50
_FREE: Final = 100_000
_MICROSECOND: Final = 0.000001


class Desk:
    """A router with workspaces that peers told it of, and sides."""

    def __init__(self, known: int, sides: int, free: int) -> None:
        """Build the state.

        :param known: workspaces in the ledger.
        :param free: slots that each side says it has.
        """
        self.router = Router(
            Identity('entry-1', samples.INCARNATION),
            random.Random(7),
        )
        self.now = float(100)
        self._requests = 0
        self.router.configure(
            self.now,
            samples.workspaces(known),
            [samples.pool()],
        )
        self.router.peer_service(self.now, samples.report(known))
        for number in range(sides):
            info = samples.side_info(number)
            self.router.side_up(self.now, info)
            self.router.update_side_load(
                self.now, info.side, samples.load(free)
            )

    def submit(self, workspace: int = 0) -> list[Dispatch]:
        """Hand in one request; return what it dispatched."""
        self._requests += 1
        self.now += _MICROSECOND
        work = samples.work(self._requests, workspace)
        effects = self.router.submit(self.now, work)
        return [one for one in effects if isinstance(one, Dispatch)]

    def queue(self, workspaces: int) -> None:
        """Let one request wait in each of so many workspaces."""
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
def _built(known: int, sides: int, free: int) -> Desk:
    return Desk(known, sides, free)


def _desk(known: int, sides: int, free: int) -> Desk:
    """Copy a desk: to hear of 8500 workspaces takes a ledger seconds."""
    return deepcopy(_built(known, sides, free))


def measure() -> Iterator[Figure]:
    """Measure all decisions."""
    for known in KNOWN:
        size = f'{known} known, 20 sides'
        yield from _of_requests(size, known, 20)
    for sides in SIDES:
        yield from _of_requests(f'850 known, {sides} sides', 850, sides)
    for waiting in WAITING:
        yield from _of_waiting(waiting)
    for known in KNOWN:
        yield from _of_ticks(known)
    for known in HEARD:
        heard = once_us(partial(partial, Desk, known, 20, 0))
        yield Figure('first report heard', f'{known} rows', 'us', heard)


def _of_requests(size: str, known: int, sides: int) -> Iterator[Figure]:
    yield Figure(
        'submit, free slot',
        size,
        'us',
        once_us(partial(_submits, known, sides), _CALLS),
    )
    yield Figure(
        'ended',
        size,
        'us',
        once_us(partial(_ends, known, sides), _CALLS),
    )
    desk = _desk(known, sides, _FREE)
    attempt_id = desk.submit()[0].attempt_id
    yield Figure(
        'progress',
        size,
        'us',
        processor_us(
            partial(desk.router.adjust_charge, desk.now, attempt_id, 200.0),
        ),
    )


def _submits(known: int, sides: int) -> Callable[[], object]:
    desk = _desk(known, sides, _FREE)
    return lambda: [desk.submit(number % known) for number in range(_CALLS)]


def _ends(known: int, sides: int) -> Callable[[], object]:
    desk = _desk(known, sides, _FREE)
    running = [desk.submit(number % known)[0] for number in range(_CALLS)]
    return lambda: [desk.end(dispatch) for dispatch in running]


def _of_waiting(waiting: int) -> Iterator[Figure]:
    size = f'{waiting} waiting, 20 sides'
    yield Figure(
        'submit, no slot',
        size,
        'us',
        once_us(partial(_queued, waiting), _CALLS),
    )
    yield Figure('grant', size, 'us', once_us(partial(_grants, waiting)))
    desk = _desk(850, 20, 0)
    desk.queue(waiting)
    yield Figure(
        'bids_for',
        size,
        'us',
        processor_us(partial(desk.router.bids_for, 'side-0')),
    )
    yield Figure('tick', size, 'us', _tick_us(desk))


def _tick_us(desk: Desk) -> Spread:
    return processor_us(partial(desk.router.tick, desk.now))


def _queued(waiting: int) -> Callable[[], object]:
    desk = _desk(850, 20, 0)
    desk.queue(waiting)
    return lambda: [desk.submit(850 + number) for number in range(_CALLS)]


def _grants(waiting: int) -> Callable[[], object]:
    desk = _desk(850, 20, 0)
    desk.queue(waiting)
    return partial(desk.router.grant, desk.now, 'side-0', Grant(1, 1.0))


def _of_ticks(known: int) -> Iterator[Figure]:
    size = f'{known} known, 20 sides'
    desk = _desk(known, 20, 0)
    yield Figure('tick, nothing waits', size, 'us', _tick_us(desk))
    heard = samples.report(known, 'entry-2')
    desk.router.peer_service(desk.now, heard)
    yield Figure(
        'peer_service',
        f'{known} rows',
        'us',
        processor_us(partial(desk.router.peer_service, desk.now, heard)),
    )
