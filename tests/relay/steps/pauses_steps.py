"""Steps for the pauses of streams."""

from __future__ import annotations

import re
from dataclasses import replace

from behave import given, then, when

from sardinetrack.relay.metrics import entry_metrics, render_metrics
from sardinetrack.store.api import StoreCounters

_EARLY_SECONDS = 0.01
_LATE_SECONDS = 0.1
"""An event loop that is late adds to a pause."""


@given(
    'objectives of {first:g} seconds for the first event and {gap:g} for pauses'
)
def set_objectives(context, first, gap):
    _change_routes(
        context,
        first_event_objective_seconds=first,
        event_gap_seconds=gap,
    )


def _change_routes(context, **changes):
    state = context.world.entry_state
    held = state.configuration
    routes = {
        host: tuple(replace(route, **changes) for route in listed)
        for host, listed in held.routes.items()
    }
    state.configuration = replace(held, routes=routes)


@when('the servers pause for {seconds:g} seconds before event {number:d}')
def pause_before(context, seconds, number):
    for server in context.world.servers:
        server.notices.stalls[number] = seconds


@when('a caller requests a stream on each of {count:d} routes')
def request_on_routes(context, count):
    world = context.world
    for number in range(count):
        _change_routes(context, name=f'route-{number}')
        assert world.run(world.call('stream')).complete


def _late_lines(context):
    context.logged = context.world.lines()
    return [line for line in context.logged if line['event'] == 'stream_late']


@then('one line reports a pause of {seconds:g} seconds before event {number:d}')
def reports_pause(context, seconds, number):
    reports_long_pause(context, seconds - _EARLY_SECONDS)
    line = context.line
    assert line['pause_seconds'] < seconds + _LATE_SECONDS, line
    assert line['next_event'] == number, line
    assert line['request'] == 'r1', line
    assert line['new_tokens'] == 100, line


@then('one line reports a pause of over {seconds:g} seconds')
def reports_long_pause(context, seconds):
    lines = _late_lines(context)
    assert len(lines) == 1, lines
    context.line = lines[0]
    assert context.line['pause_seconds'] > seconds, context.line


@then('no line reports a late stream')
def reports_none(context):
    reports_count(context, 0)


@then('{count:d} lines report a late stream')
def reports_count(context, count):
    lines = _late_lines(context)
    assert len(lines) == count, lines


@then('it says that the caller was slow')
def says_slow(context):
    assert context.line['caller_slow'], context.line


@then('it says that the stream was not resumed and the caller not slow')
def says_neither(context):
    line = context.line
    assert not line['resumed'] and not line['caller_slow'], line


@then('it names the last server, and says that the stream was resumed')
def names_last(context):
    assert context.line['server'] == _sent(context)[1]['server']
    assert context.line['resumed'], context.line


@then('it names the first server, and says that the stream was not resumed')
def names_first(context):
    assert context.line['server'] == _sent(context)[0]['server']
    assert not context.line['resumed'], context.line


def _sent(context):
    return [one for one in context.logged if one['event'] == 'request_sent']


def _page(context):
    state = context.world.entry_state
    return render_metrics(
        lambda: entry_metrics(state, StoreCounters())
    ).decode()


@then(
    'the page counts {paused:d} stream late by a pause'
    ' and {begun:d} by its first event'
)
@then(
    'the page counts {paused:d} streams late by a pause'
    ' and {begun:d} by its first event'
)
def page_counts_late(context, paused, begun):
    page = _page(context)
    name = 'sardinetrack_late_streams_total'
    assert f'{name}{{by="pause"}} {paused}.0' in page, page
    assert f'{name}{{by="first_event"}} {begun}.0' in page, page


@then(
    'the page has {below:d} streams with a ratio up to {low:f}'
    ' and {within:d} up to {high:f}'
)
def page_has_ratio(context, below, low, within, high):
    page = _page(context)
    for bound, count in ((low, below), (high, within)):
        line = f'ratio_bucket{{by="stream",le="{bound}"}} {count}.0'
        assert line in page, (line, page)


@then('the page has pauses of {count:d} streams')
def page_has_pauses(context, count):
    assert sum(_counts(context).values()) == count


@then(
    'the page has pauses of {count:d} streams on {routes:d} routes,'
    ' {others:d} of them on others'
)
def page_is_bounded(context, count, routes, others):
    counts = _counts(context)
    assert sum(counts.values()) == count, counts
    assert len(counts) == routes, counts
    assert counts['others'] == others, counts


def _counts(context):
    found = re.findall(
        r'stream_pause_ratio_count{by="([^"]+)"} (\S+)', _page(context)
    )
    return {route: float(count) for route, count in found}
