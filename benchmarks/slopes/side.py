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


class LoadedAdmission:
    """An admission object with occupied slots and bids for them."""

    def __init__(self, entries: int, rows: int) -> None:
        """Occupy all slots, then apply the bids of all entries.

        :param entries: number of entries that bid.
        :param rows: number of workspaces in each entry's bids.
        """
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
        """Let a run request arrive."""
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
            yield from _measure(entries, rows)


def _measure(entries: int, rows: int) -> Iterator[Figure]:
    size = f'{entries} entries x {rows} rows'
    yield Figure(
        'bids taken in',
        size,
        'us',
        once_us(partial(_prepare_bids, entries, rows)),
    )
    yield Figure(
        'finished, with its grant',
        size,
        'us',
        once_us(partial(_prepare_finished, entries, rows), _CALLS),
    )
    yield Figure(
        'arrive on a grant',
        size,
        'us',
        once_us(partial(_prepare_arrivals, entries, rows), _CALLS),
    )
    loaded = LoadedAdmission(entries, rows)
    yield Figure(
        'side tick',
        size,
        'us',
        processor_us(partial(loaded.admission.tick, loaded.now)),
    )


def _prepare_bids(entries: int, rows: int) -> Callable[[], object]:
    loaded = LoadedAdmission(entries, rows)
    return partial(
        loaded.admission.update_bids,
        loaded.now,
        'entry-0',
        loaded.bids,
    )


def _prepare_finished(entries: int, rows: int) -> Callable[[], object]:
    loaded = LoadedAdmission(entries, rows)
    return lambda: [loaded.finish(number) for number in range(_CALLS)]


def _prepare_arrivals(entries: int, rows: int) -> Callable[[], object]:
    loaded = LoadedAdmission(entries, rows)
    grants = [
        grant for number in range(_CALLS) for grant in loaded.finish(number)
    ]
    return lambda: [
        loaded.arrive(f'next-{number}', sent.grant.number, sent.entry)
        for number, sent in enumerate(grants)
    ]
