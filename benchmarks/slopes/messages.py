"""Size of each message, and the cost of encoding and decoding it."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import Final

from benchmarks.probe.table import Spread
from benchmarks.slopes import samples
from benchmarks.slopes.figure import Figure, processor_us
from sardinetrack.messages.api import ConfigDigest, Grant, LinkMessage
from sardinetrack.messages.codec import decode, encode

ROWS: Final = (10, 100, 850)
WORKSPACES: Final = (850, 8500)


def measure() -> Iterator[Figure]:
    """Measure all kinds of messages."""
    for name, size, message in _messages():
        text = encode(message)
        yield Figure(name, size, 'bytes', Spread.of([len(text)]))
        yield Figure(
            f'encode {name}',
            size,
            'us',
            processor_us(partial(encode, message)),
        )
        yield Figure(
            f'decode {name}',
            size,
            'us',
            processor_us(partial(decode, text)),
        )


def _messages() -> Iterator[tuple[str, str, LinkMessage]]:
    for rows in ROWS:
        yield 'Bids', f'{rows} rows', samples.bids(rows)
        yield 'ServiceReport', f'{rows} rows', samples.report(rows)
    yield 'SideLoad', '1', samples.load(3)
    yield 'Grant', '1', Grant(123_456, 0.25)
    yield 'ConfigDigest', '1', ConfigDigest(8501, 'f' * 32)
    yield 'ConfigUpdate', '1 change', samples.change(8500)
    for count in WORKSPACES:
        yield 'ConfigUpdate', f'{count} workspaces', samples.snapshot(count)
