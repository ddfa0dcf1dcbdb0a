"""Print figures as a table and as JSON."""

from __future__ import annotations

import json
import statistics
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Spread:
    """A figure of several runs: its median, lowest and highest."""

    median: float
    lowest: float
    highest: float

    @classmethod
    def of(cls, samples: Iterable[float]) -> Spread:
        """Summarise the runs."""
        values = sorted(samples)
        return cls(statistics.median(values), values[0], values[-1])

    def __str__(self) -> str:
        lowest = _format_number(self.lowest)
        highest = _format_number(self.highest)
        return f'{_format_number(self.median)} ({lowest}..{highest})'


def _format_number(value: float) -> str:
    return format(value, '.3g')


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under a heading, with aligned columns."""
    lines = [tuple(head), *(tuple(map(str, row)) for row in rows)]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(head))
    ]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        sys.stdout.write('  '.join(cells).rstrip())
        sys.stdout.write('\n')


def print_json(content: Mapping[str, object]) -> None:
    """Print everything as one line of JSON."""
    sys.stdout.write(f'{json.dumps(content)}\n')
