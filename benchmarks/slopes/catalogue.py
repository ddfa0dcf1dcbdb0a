"""Cost of the catalogue and the instance list at an instance."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

import msgspec

from benchmarks.probe.table import Spread
from benchmarks.slopes import samples
from benchmarks.slopes.figure import (
    Figure,
    allocated_bytes,
    once_us,
    processor_us,
)
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.membership.view import MembershipView
from sardinetrack.store.api import ListedInstance

WORKSPACES: Final = (850, 8500)
INSTANCES: Final = (250, 2500)


def measure() -> Iterator[Figure]:
    """Measure at two sizes each."""
    for instances in INSTANCES:
        yield from _listing(instances)
    for count in WORKSPACES:
        size = f'{count} workspaces'
        yield Figure(
            'apply a snapshot',
            size,
            'us',
            once_us(partial(_snapshot, count)),
        )
        yield Figure(
            'apply one change',
            size,
            'us',
            once_us(partial(_change, count)),
        )
        yield Figure(
            'view',
            size,
            'bytes',
            allocated_bytes(partial(full_view, count)),
        )


def _listing(count: int) -> Iterator[Figure]:
    size = f'{count} instances'
    rows = samples.instances(count)
    text = msgspec.json.encode(rows)
    view = MembershipView()
    view.update(rows)
    yield Figure('list', size, 'bytes', Spread.of([len(text)]))
    yield Figure(
        'read the list, no news',
        size,
        'us',
        processor_us(partial(_decode_list, view, text)),
    )


def _decode_list(view: MembershipView, text: bytes) -> object:
    listed = msgspec.json.decode(text, type=tuple[ListedInstance, ...])
    return view.update(listed)


def full_view(count: int) -> CatalogueView:
    """Build a view of a complete catalogue."""
    view = CatalogueView()
    view.apply(samples.snapshot(count))
    return view


def _snapshot(count: int) -> Callable[[], object]:
    return partial(CatalogueView().apply, samples.snapshot(count))


def _change(count: int) -> Callable[[], object]:
    return partial(full_view(count).apply, samples.change(count))
