"""What a change and a snapshot of the catalogue cost a node."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

from benchmarks.slopes import samples
from benchmarks.slopes.figure import Figure, allocated_bytes, once_us
from sardinetrack.catalogue.view import CatalogueView

WORKSPACES: Final = (850, 8500)


def measure() -> Iterator[Figure]:
    """Measure at two sizes of the catalogue."""
    for count in WORKSPACES:
        size = f'{count} workspaces'
        yield Figure(
            'apply a snapshot',
            size,
            'us',
            once_us(partial(_first, count)),
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


def full_view(count: int) -> CatalogueView:
    """Build a view that holds a whole catalogue."""
    view = CatalogueView()
    view.apply(samples.snapshot(count))
    return view


def _first(count: int) -> Callable[[], object]:
    return partial(CatalogueView().apply, samples.snapshot(count))


def _change(count: int) -> Callable[[], object]:
    return partial(full_view(count).apply, samples.change(count))
