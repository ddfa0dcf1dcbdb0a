"""Command: costs that grow with the size of the fleet, at several sizes.

Run ``PYTHONPATH=tests python -m benchmarks.capacity [SUBJECT ...]`` at the
root of the repository. docs/CAPACITY.md is computed from its figures.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict
from types import MappingProxyType
from typing import Final

from benchmarks.probe.table import print_json, print_table
from benchmarks.slopes import (
    catalogue,
    entry,
    links,
    memory,
    messages,
    side,
    streams,
)
from benchmarks.slopes.figure import Figure

Measure = Callable[[], Iterator[Figure]]

SUBJECTS: Mapping[str, Measure] = MappingProxyType(
    {
        'messages': messages.measure,
        'entry': entry.measure,
        'side': side.measure,
        'catalogue': catalogue.measure,
        'memory': memory.measure,
        'links': links.measure,
        'streams': streams.measure,
    },
)
HEAD: Final = ('subject', 'size', 'unit', 'median (lowest..highest)')


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('subjects', nargs='*', metavar='SUBJECT')
    options = parser.parse_args()
    unknown = set(options.subjects) - set(SUBJECTS)
    if unknown:
        known = ', '.join(SUBJECTS)
        parser.error(f'no such subject; there are {known}')
    for name in options.subjects or SUBJECTS:
        _print(name, list(SUBJECTS[name]()))
    return 0


def _print(name: str, figures: list[Figure]) -> None:
    sys.stdout.write(f'== {name}\n')
    rows = [(one.subject, one.size, one.unit, one.cost) for one in figures]
    print_table(HEAD, rows)
    print_json({name: [asdict(one) for one in figures]})
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
