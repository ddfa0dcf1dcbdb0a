"""Render the HTML page of a report."""

from __future__ import annotations

from html import escape
from string import Template
from typing import Final

from sardinetrack.reports import plots
from sardinetrack.reports.summary import Summary

_PAGE: Final = Template(
    """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>sardinetrack: report</title>
<style>body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
td { padding: 0 1em; } td + td { text-align: right; }</style></head><body>
<h1>Run report</h1>
<table>$totals</table>
<p>Late: the first event came more than $objective s after the request.
Log lines dropped: $dropped.</p>
<h2>Outcomes of requests, by second</h2>$ends
<h2>Wait for a permit, by workspace</h2>$waits
<h2>Prompt tokens sent to each server, by second</h2>$load
</body></html>
""",
)


def render_page(summary: Summary) -> str:
    """Render the report as an HTML page that needs no other file."""
    rows = (
        f'<tr><td>{escape(name)}</td><td>{count}</td></tr>'
        for name, count in summary.totals.most_common()
    )
    return _PAGE.substitute(
        totals=''.join(rows),
        objective=format(summary.objective_seconds, 'g'),
        dropped=summary.dropped_lines,
        ends=plots.outcomes_over_time(summary),
        waits=plots.waits_by_workspace(summary),
        load=plots.load_over_time(summary),
    )
