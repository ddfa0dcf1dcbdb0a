"""Write tables of text for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

_GAP: Final = '  '

Row = Sequence[str | int]


def write_table(heads: Sequence[str], rows: Sequence[Row]) -> str:
    """Align the cells of a table; numbers stand to the right.

    :param heads: titles of the columns.
    :param rows: as many cells each.
    :return: one line for the heads and one for each row.
    """
    widths = [
        max(len(str(cell)) for cell in column)
        for column in zip(heads, *rows, strict=True)
    ]
    lines = [_line(heads, widths), *(_line(row, widths) for row in rows)]
    return '\n'.join(lines)


def _line(row: Row, widths: Sequence[int]) -> str:
    cells = [
        str(cell).rjust(width)
        if isinstance(cell, int)
        else str(cell).ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return _GAP.join(cells).rstrip()
