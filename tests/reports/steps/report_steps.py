"""Steps for the report of a run."""

from __future__ import annotations

import io
import json
import math
from contextlib import redirect_stderr
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

from sardinetrack.logs.request_trace import parse_lines
from sardinetrack.reports.summary import summarise
from sardinetrack.run import main


def _ended(number, **more):
    return {
        'time': 100 + number / 10,
        'node': 'e1',
        'event': 'request_ended',
        'request': f'r{number}',
        'status': None,
        'reason': '',
        'workspace': 'pilots',
        'waited_seconds': 0.1,
        'first_seconds': 0.4,
        **more,
    }


def _write(context, lines):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.log = context.folder / 'e1.log'
    context.log.write_text('\n'.join(json.dumps(line) for line in lines))


@given(
    'the log lines of a run with {served:d} served, {late:d} late'
    ' and {refused:d} refused requests',
)
def write_run(context, served, late, refused):
    lines = [_ended(number) for number in range(served)]
    lines.extend(_ended(number, first_seconds=1.4) for number in range(late))
    lines.extend(
        _ended(
            number,
            status=503,
            reason='not_run_deadline: side: 9000 tokens ahead',
            workspace='agency',
            first_seconds=None,
        )
        for number in range(refused)
    )
    lines.extend(
        {
            'time': 100.0,
            'node': 'e1',
            'event': 'request_sent',
            'server': 'i-1',
            'new_tokens': 300,
        }
        for _ in range(2)
    )
    _write(context, lines)


@given('the log lines of a run whose entry dropped {count:d} lines')
def write_dropped(context, count):
    line = {'time': 101, 'node': 'e1', 'event': 'lines_dropped'}
    _write(context, [_ended(1), {**line, 'lines': count}])


@given('the log lines of a run without requests')
def write_none(context):
    _write(context, [{'time': 1, 'node': 'e1', 'event': 'started'}])


@given('the log lines of a run whose request ended with "{reason}"')
def write_reason(context, reason):
    _write(context, [_ended(1, status=503, reason=reason)])


def _report(context, name):
    out = context.folder / name
    errors = io.StringIO()
    with redirect_stderr(errors):
        code = main(['report', '--out', str(out), str(context.log)])
    context.code = code
    context.errors = errors.getvalue()
    return out.read_text() if code == 0 else ''


@when('its report is written')
def write_report(context):
    context.page = _report(context, 'run.html')


@when('its report is written twice')
def write_twice(context):
    context.pages = [_report(context, 'a.html'), _report(context, 'b.html')]


@when('its lines are summarised')
def summarise_lines(context):
    lines = parse_lines(context.log.read_text().splitlines())
    context.summary = summarise(lines, 1.0)


@then('the page counts {served:d} served, {late:d} late and {count:d} {reason}')
def counts(context, served, late, count, reason):
    for name, number in (('served', served), ('late', late), (reason, count)):
        assert f'<td>{name}</td><td>{number}</td>' in context.page, name


@then('the page has {count:d} images and needs no other file')
def images(context, count):
    assert context.page.count('<svg') == count
    assert 'src=' not in context.page
    assert '<link' not in context.page


@then('both pages are the same')
def same_pages(context):
    first, second = context.pages
    assert first
    assert first == second


@then('the median wait of workspace {name} is {seconds:g} seconds')
def median_wait(context, name, seconds):
    median = context.summary.waits[name].median_seconds
    assert math.isclose(median, seconds)


@then('{tokens:d} tokens were sent to server {server} in the first second')
def tokens_sent(context, server, tokens):
    assert context.summary.sent_tokens[server][0] == tokens


@then('the page reports {count:d} dropped lines')
def dropped(context, count):
    assert f'dropped: {count}.' in context.page


@then('the command fails with "{text}"')
def fails(context, text):
    assert context.code != 0
    assert text in context.errors, context.errors


@then('the page has no script')
def no_script(context):
    assert context.code == 0
    assert '<script>' not in context.page
    assert '&lt;script&gt;' in context.page
