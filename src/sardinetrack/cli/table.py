"""Format tables of text for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

_GAP: Final = '  '

Row = Sequence[str | int]


def format_table(headings: Sequence[str], rows: Sequence[Row]) -> str:
    """Align the cells of a table; numbers are right-aligned.

    :param headings: titles of the columns.
    :param rows: as many cells each.
    :return: one line for the headings and one for each row.
    """
    widths = [
        max(len(str(cell)) for cell in column)
        for column in zip(headings, *rows, strict=True)
    ]
    lines = [
        _format_row(headings, widths),
        *(_format_row(row, widths) for row in rows),
    ]
    return '\n'.join(lines)


def _format_row(row: Row, widths: Sequence[int]) -> str:
    cells = [
        str(cell).rjust(width)
        if isinstance(cell, int)
        else str(cell).ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return _GAP.join(cells).rstrip()
