"""Processor time of a side's decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

from benchmarks.slopes import samples
from benchmarks.slopes.figure import Figure, once_us, processor_us
from sardinetrack.admission.api import Arrival, SendGrant
from sardinetrack.admission.slots import SlotAdmission

ENTRIES: Final = (3, 20, 200)
ROWS: Final = (10, 100, 850)
LIMIT: Final = 40
_CALLS: Final = 10


class Counter:
    """An admission object whose slots are all taken and wanted."""

    def __init__(self, entries: int, rows: int) -> None:
        """Fill the slots, then take in the bids of all entries."""
        self.admission = SlotAdmission(samples.INCARNATION, LIMIT)
        self.now = float(100)
        for number in range(LIMIT):
            self.arrive(f'first-{number}', 0)
        self.bids = samples.bids(rows)
        for number in range(entries):
            self.admission.update_bids(self.now, f'entry-{number}', self.bids)

    def arrive(
        self, attempt_id: str, grant: int, entry: str = 'entry-0'
    ) -> object:
        """Let an order arrive."""
        arrival = Arrival(
            attempt_id,
            entry,
            samples.workspace_name(0),
            1234.5,
            450.0,
            grant,
            4.0,
        )
        return self.admission.arrive(self.now, arrival)

    def finish(self, number: int) -> list[SendGrant]:
        """End one of the first requests; return the grants that follow."""
        effects = self.admission.finished(
            self.now,
            f'first-{number}',
            is_complete=True,
            cost=450.0,
        )
        return [one for one in effects if isinstance(one, SendGrant)]


def measure() -> Iterator[Figure]:
    """Measure all decisions."""
    for entries in ENTRIES:
        for rows in ROWS:
            yield from _at(entries, rows)


def _at(entries: int, rows: int) -> Iterator[Figure]:
    size = f'{entries} entries x {rows} rows'
    yield Figure(
        'bids taken in',
        size,
        'us',
        once_us(partial(_bids, entries, rows)),
    )
    yield Figure(
        'finished, with its grant',
        size,
        'us',
        once_us(partial(_finished, entries, rows), _CALLS),
    )
    yield Figure(
        'arrive on a grant',
        size,
        'us',
        once_us(partial(_arrivals, entries, rows), _CALLS),
    )
    counter = Counter(entries, rows)
    yield Figure(
        'side tick',
        size,
        'us',
        processor_us(partial(counter.admission.tick, counter.now)),
    )


def _bids(entries: int, rows: int) -> Callable[[], object]:
    counter = Counter(entries, rows)
    return partial(
        counter.admission.update_bids,
        counter.now,
        'entry-0',
        counter.bids,
    )


def _finished(entries: int, rows: int) -> Callable[[], object]:
    counter = Counter(entries, rows)
    return lambda: [counter.finish(number) for number in range(_CALLS)]


def _arrivals(entries: int, rows: int) -> Callable[[], object]:
    counter = Counter(entries, rows)
    grants = [
        grant for number in range(_CALLS) for grant in counter.finish(number)
    ]
    return lambda: [
        counter.arrive(f'next-{number}', sent.grant.number, sent.entry)
        for number, sent in enumerate(grants)
    ]
