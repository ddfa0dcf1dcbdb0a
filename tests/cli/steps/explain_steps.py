"""Steps for the trace of a request."""

from __future__ import annotations

import io
import json
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

from sardinetrack.run import main

_ENTRY = (
    {'time': 99.0, 'event': 'stopping'},
    {'time': 99.5, 'event': 'started'},
    {'time': 100.0, 'event': 'configured', 'version': 7},
    {'time': 101.0, 'event': 'request_sent', 'request': 'beef0', 'ask': 1},
    {'time': 102.0, 'event': 'request_sent', 'request': '9c41', 'ask': 1},
    {
        'time': 103.0,
        'event': 'request_ended',
        'request': '9c41',
        'reason': 'timed_out: ',
    },
)
_SIDE = (
    {
        'time': 110.9,
        'event': 'refused',
        'request': '9c41.0',
        'ahead_tokens': 9000,
    },
)


def _write(context, files):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.files = []
    for node, lines in files.items():
        path = Path(folder.name) / node
        texts = (json.dumps({'node': node, **line}) for line in lines)
        path.write_text('\n'.join((*texts, '{"cut')))
        context.files.append(str(path))


@given('the logs of an entry and of a side whose clock is ahead')
def write_both(context):
    _write(context, {'edge': _ENTRY, 'side': _SIDE})


@given('the log of a side alone')
def write_side(context):
    _write(context, {'side': _SIDE})


@given('the log of an entry that dropped {count:d} lines')
def write_dropped(context, count):
    dropped = {'event': 'lines_dropped', 'lines': count}
    _write(context, {'edge-1': (*_ENTRY, dropped)})


@when('request {request} is explained')
def explain(context, request):
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        context.code = main(['explain', request, *context.files])
    context.output_lines = output.getvalue().splitlines()
    context.errors = errors.getvalue()


@then('the output has the events: {events}')
def has_events(context, events):
    expected = events.split(', ')
    assert len(context.output_lines) == len(expected), context.output_lines
    for output_line, event in zip(context.output_lines, expected, strict=True):
        assert f' {event} ' in output_line, context.output_lines


@then('the last line reports that a file is missing')
def reports_missing(context):
    assert 'missing' in context.output_lines[-1]


@then('the last line reports that {node} dropped {count:d}')
def reports_dropped(context, node, count):
    assert f'{node} {count}' in context.output_lines[-1]


@then('the command fails because no line is about {request}')
def fails_unknown(context, request):
    assert context.code != 0
    assert f'no line is about {request}' in context.errors
