"""Steps for log lines."""

from __future__ import annotations

import io
import json
import logging
import subprocess
import sys

from behave import given, then, when
from behave.runner import Context

from sardinetrack.logs import (
    ComponentLogger,
    DecisionRecord,
    LogComponent,
    LogFormat,
    configure,
)

_PROGRAM = """
import sys
from sardinetrack.logs import ComponentLogger, LogComponent
from sardinetrack.logs import LogFormat, configure
configure(LogFormat(sys.argv[1]), 'info')
ComponentLogger(LogComponent.ENTRY).info(sys.argv[2], port=1)
"""


def _configure(context: Context, level: str) -> None:
    context.stream = io.StringIO()
    configure(context.log_format, level, context.stream)


def _fail(text: str) -> None:
    raise ValueError(text)


def _lines(context: Context) -> list[str]:
    return context.stream.getvalue().splitlines()


@given('the log format "{log_format}"')
def step_format(context: Context, log_format: str) -> None:
    root = logging.getLogger()
    context.add_cleanup(setattr, root, 'handlers', root.handlers)
    context.log_format = LogFormat(log_format)
    _configure(context, 'info')


@given('the log level "{level}"')
def step_level(context: Context, level: str) -> None:
    _configure(context, level)


@when('a side\'s decision on attempt "{attempt_id}" is logged')
def step_side_decision(context: Context, attempt_id: str) -> None:
    record = DecisionRecord(
        request_id=None,
        workspace='pilots',
        pool='ice-llm',
        backend_server='engine-1',
        reason='free slot',
        attempt_id=attempt_id,
    )
    ComponentLogger(LogComponent.SIDE).decision('start', record)


@when('a decision is logged for request "{request}" because "{reason}"')
def step_decision(context: Context, request: str, reason: str) -> None:
    record = DecisionRecord(
        request_id=request.replace(r'\n', '\n'),
        workspace='pilots',
        pool='ice-llm',
        backend_server='engine-1',
        reason=reason,
        waited_seconds=0.25,
    )
    ComponentLogger(LogComponent.ENTRY).decision('request sent', record)


@when('the component "{component}" logs "{sentence}"')
def step_logs(context: Context, component: str, sentence: str) -> None:
    ComponentLogger(LogComponent(component)).info(sentence)


@when('a line is logged with "{text}" in its sentence')
def step_in_sentence(context: Context, text: str) -> None:
    ComponentLogger(LogComponent.ENTRY).warning(f'refused {text}')


@when('a line is logged with "{text}" in its field')
def step_in_field(context: Context, text: str) -> None:
    ComponentLogger(LogComponent.ENTRY).warning('refused', header=text)


@when('a line is logged with "{text}" in its traceback')
def step_in_traceback(context: Context, text: str) -> None:
    try:
        _fail(text)
    except ValueError:
        ComponentLogger(LogComponent.ENTRY).exception('failed')


@when('a line is logged with the field "{name}" as "{text}"')
def step_with_field(context: Context, name: str, text: str) -> None:
    ComponentLogger(LogComponent.ENTRY).info('called', **{name: text})


@when('a process logs "{sentence}" in the format "{log_format}"')
def step_process(context: Context, sentence: str, log_format: str) -> None:
    context.process = subprocess.run(
        [sys.executable, '-c', _PROGRAM, log_format, sentence],
        capture_output=True,
        text=True,
        check=True,
    )


@then('the line is "{line}"')
def step_line(context: Context, line: str) -> None:
    assert _lines(context) == [line], _lines(context)


@then('the line is JSON with')
def step_json_line(context: Context) -> None:
    found = json.loads(context.stream.getvalue())
    for row in context.table:
        assert found[row['name']] == row['text'], found


@then('the line\'s prefix is "{prefix}"')
def step_prefix(context: Context, prefix: str) -> None:
    assert json.loads(context.stream.getvalue())['prefix'] == prefix


@then('no line mentions "{word}"')
def step_no_mention(context: Context, word: str) -> None:
    assert word not in context.stream.getvalue()


@then('a line mentions "{word}"')
def step_mention(context: Context, word: str) -> None:
    assert word in context.stream.getvalue()


@then('there is one line')
def step_one_line(context: Context) -> None:
    assert len(_lines(context)) == 1, _lines(context)


@then('there is no line')
def step_no_line(context: Context) -> None:
    assert not _lines(context)


@then('its standard output is empty')
def step_no_output(context: Context) -> None:
    assert not context.process.stdout


@then('its standard error is one line of JSON')
def step_error_json(context: Context) -> None:
    assert json.loads(context.process.stderr)['sentence'] == 'ready'
