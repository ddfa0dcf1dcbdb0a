"""Draw the counts of a run as pictures that stand in a page of HTML."""

from __future__ import annotations

from collections.abc import Sequence
from io import StringIO
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from sardinetrack.reports.summary import Summary

_INCHES: Final = (9.0, 3.2)
_SLANT_DEGREES: Final = 45
_MOST_KINDS: Final = 9
"""Ends that are drawn; the table has all. Ten colours would repeat."""


def ends_over_time(summary: Summary) -> str:
    """Draw served, late and refused requests by second, as SVG."""
    figure, axes = _axes('second', 'requests')
    seconds = _seconds(summary)
    kinds = [name for name, _ in summary.totals.most_common(_MOST_KINDS)]
    rows = [[summary.ends[at][kind] for at in seconds] for kind in kinds]
    axes.stackplot(seconds, rows, labels=kinds)
    axes.legend(loc='upper left', fontsize='x-small')
    return _svg(figure)


def waits_by_workspace(summary: Summary) -> str:
    """Draw how long the requests of each workspace waited, as SVG."""
    figure, axes = _axes('', 'wait for a turn, s')
    names = summary.busiest_workspaces
    axes.bar(
        names,
        [summary.waits[name].p95_seconds for name in names],
        label='95 in 100',
    )
    axes.bar(
        names,
        [summary.waits[name].median_seconds for name in names],
        label='median',
    )
    axes.tick_params(axis='x', labelrotation=_SLANT_DEGREES)
    axes.legend(fontsize='x-small')
    return _svg(figure)


def load_over_time(summary: Summary) -> str:
    """Draw the prompt tokens that each server was sent, as SVG."""
    figure, axes = _axes('second', 'prompt tokens sent')
    seconds = _seconds(summary)
    for sent in summary.sent_tokens.values():
        axes.plot(seconds, [sent[at] for at in seconds], linewidth=1)
    return _svg(figure)


def _seconds(summary: Summary) -> Sequence[int]:
    return range(max(summary.ends, default=0) + 1)


def _axes(x_label: str, y_label: str) -> tuple[Figure, Axes]:
    figure = Figure(figsize=_INCHES, layout='constrained')
    axes = figure.add_subplot()
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    return figure, axes


def _svg(figure: Figure) -> str:
    written = StringIO()
    # The same run draws the same picture, byte by byte.
    with mpl.rc_context({'svg.hashsalt': 'sardinetrack'}):
        figure.savefig(written, format='svg', metadata={'Date': None})
    text = written.getvalue()
    return text[text.index('<svg') :]
