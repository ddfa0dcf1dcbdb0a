"""Steps for the lines on standard output."""

from __future__ import annotations

import json
import os
import re
import time
from pathlib import Path

from behave import given, then, when

from sardinetrack.logs.events import MAX_LINES, Event, EventLog

_PAGE = Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'


@given('a log whose reader has stopped')
def open_log(context):
    pipe = os.pipe()
    context.read_end = pipe[0]
    context.log = EventLog(pipe[1], 'entry-1')


@when('{count:d} lines are written')
def write_lines(context, count):
    context.max_seconds = 0
    for number in range(count):
        started = time.monotonic()
        context.log.write(Event.REQUEST_ENDED, request=f'r{number}')
        context.log.flush()
        took_seconds = time.monotonic() - started
        context.max_seconds = max(context.max_seconds, took_seconds)


@when('{count:d} lines of {size:d} bytes are written')
def write_long_lines(context, count, size):
    for _ in range(count):
        context.log.write(Event.REQUEST_ENDED, request='r' * size)
        context.log.flush()


@then('the buffered lines have {megabytes:g} MB at most')
def bounded_bytes(context, megabytes):
    buffered = sum(map(len, context.log._buffer))  # noqa: SLF001
    assert buffered <= megabytes * 1_000_000, buffered


@when('a line about a request with status {status:d} is written')
def write_failed(context, status):
    context.log.write(Event.REQUEST_ENDED, request='bad', status=status)


@when('the reader resumes')
def resume_reading(context):
    os.set_blocking(context.read_end, False)
    raw = b''
    for _ in range(1000):
        context.log.flush()
        try:
            raw += os.read(context.read_end, 1_000_000)
        except BlockingIOError:
            break
    context.received = [json.loads(line) for line in raw.splitlines()]


@when('the reader closes its end')
def close_reader(context):
    os.close(context.read_end)


@then('no write took longer than {seconds:g} seconds')
def no_slow_write(context, seconds):
    assert context.max_seconds < seconds, context.max_seconds


@then('the number of buffered lines is limited')
def bounded(context):
    assert len(context.log._buffer) <= MAX_LINES  # noqa: SLF001
    assert context.log.dropped > 0


@then('a line reports how many lines were dropped')
def drops_reported(context):
    reports = [
        one for one in context.received if one['event'] == 'lines_dropped'
    ]
    assert reports[-1]['lines'] == context.log.dropped


@then('every line received is complete')
def complete(context):
    assert all('node' in one for one in context.received)


@then('the line about status {status:d} is received')
def failed_line_present(context, status):
    assert any(one.get('status') == status for one in context.received)


@then('writing continues without an error')
def writing_continues(context):
    write_lines(context, 10)


@then('docs/OPERATIONS.md has a row for each kind of line and no other')
def page_complete(context):
    section = _PAGE.read_text().split('## Lines')[1].split('## Metrics')[0]
    rows = re.findall(r'^\| `(\w+)` \|', section, re.MULTILINE)
    assert set(rows) == {event.value for event in Event}, rows
