"""Write the page."""

from __future__ import annotations

from html import escape
from string import Template
from typing import Final

from sardinetrack.reports import plots
from sardinetrack.reports.summary import Summary

_PAGE: Final = Template(
    """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>sardinetrack: a run</title>
<style>body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
td { padding: 0 1em; } td + td { text-align: right; }</style></head><body>
<h1>A run by its lines</h1>
<table>$totals</table>
<p>Late: the first event came more than $objective s after the request.
Lines that processes dropped: $dropped.</p>
<h2>How requests ended, by second</h2>$ends
<h2>Wait for a turn, by workspace</h2>$waits
<h2>Prompt tokens sent to each server, by second</h2>$load
</body></html>
""",
)


def write_page(summary: Summary) -> str:
    """Write a page of HTML that needs no other file."""
    rows = (
        f'<tr><td>{escape(name)}</td><td>{count}</td></tr>'
        for name, count in summary.totals.most_common()
    )
    return _PAGE.substitute(
        totals=''.join(rows),
        objective=format(summary.objective_seconds, 'g'),
        dropped=summary.dropped_lines,
        ends=plots.ends_over_time(summary),
        waits=plots.waits_by_workspace(summary),
        load=plots.load_over_time(summary),
    )
