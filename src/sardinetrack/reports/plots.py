"""Draw a run's statistics as SVG images to embed in an HTML page."""

from __future__ import annotations

from collections.abc import Sequence
from io import StringIO
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from sardinetrack.reports.summary import Summary

_FIGURE_INCHES: Final = (9.0, 3.2)
_LABEL_ROTATION_DEGREES: Final = 45
_MAX_OUTCOMES: Final = 9
"""Outcomes that are drawn; the table lists all. Ten colours would repeat."""


def outcomes_over_time(summary: Summary) -> str:
    """Draw the outcomes of requests by second, as SVG."""
    figure, axes = _axes('second', 'requests')
    seconds = _seconds(summary)
    shown = [name for name, _ in summary.totals.most_common(_MAX_OUTCOMES)]
    rows = [
        [summary.outcomes[at][outcome] for at in seconds] for outcome in shown
    ]
    axes.stackplot(seconds, rows, labels=shown)
    axes.legend(loc='upper left', fontsize='x-small')
    return _svg(figure)


def waits_by_workspace(summary: Summary) -> str:
    """Draw how long the requests of each workspace waited, as SVG."""
    figure, axes = _axes('', 'wait for a permit, s')
    names = summary.busiest_workspaces
    axes.bar(
        names,
        [summary.waits[name].p95_seconds for name in names],
        label='95th percentile',
    )
    axes.bar(
        names,
        [summary.waits[name].median_seconds for name in names],
        label='median',
    )
    axes.tick_params(axis='x', labelrotation=_LABEL_ROTATION_DEGREES)
    axes.legend(fontsize='x-small')
    return _svg(figure)


def load_over_time(summary: Summary) -> str:
    """Draw the prompt tokens sent to each server, as SVG."""
    figure, axes = _axes('second', 'prompt tokens sent')
    seconds = _seconds(summary)
    for sent in summary.sent_tokens.values():
        axes.plot(seconds, [sent[at] for at in seconds], linewidth=1)
    return _svg(figure)


def _seconds(summary: Summary) -> Sequence[int]:
    return range(max(summary.outcomes, default=0) + 1)


def _axes(x_label: str, y_label: str) -> tuple[Figure, Axes]:
    figure = Figure(figsize=_FIGURE_INCHES, layout='constrained')
    axes = figure.add_subplot()
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    return figure, axes


def _svg(figure: Figure) -> str:
    buffer = StringIO()
    # The same run gives the same image, byte for byte.
    with mpl.rc_context({'svg.hashsalt': 'sardinetrack'}):
        figure.savefig(buffer, format='svg', metadata={'Date': None})
    text = buffer.getvalue()
    return text[text.index('<svg') :]
