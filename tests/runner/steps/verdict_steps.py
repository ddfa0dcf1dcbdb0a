"""Steps for the verdict over all parts."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from verdict import KnownRedError, Scenario, judge, read_known_red

_SCRIPT = Path('tests/runner/verdict.py').resolve()

_PASSED_REPORT = json.dumps(
    [
        {
            'location': 'tests/a/a.feature:1',
            'elements': [
                {'type': 'background', 'name': ''},
                {'type': 'scenario', 'name': 'one', 'status': 'passed'},
            ],
        },
    ],
)


@given('the scenarios')
def step_scenarios(context: Context) -> None:
    context.known_red = ''
    context.scenarios = [
        Scenario(row['place'], row['status']) for row in context.table
    ]


@given('no scenarios')
def step_no_scenarios(context: Context) -> None:
    context.scenarios = []


@given('another scenario that ended as "{status}"')
def step_another(context: Context, status: str) -> None:
    context.scenarios.append(Scenario('tests/c.feature:four', status))


@given('the known red list')
def step_known_red(context: Context) -> None:
    context.known_red = context.text


@given('reports of a part with exit code {code} and {report}')
def step_reports(context: Context, code: str, report: str) -> None:
    directory = TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    (context.directory / 'a.code').write_text(code)
    if report != 'no report':
        size = len(_PASSED_REPORT)
        if 'half' in report:
            size //= 2
        (context.directory / 'a.json').write_text(_PASSED_REPORT[:size])


@when('their verdict is computed')
def step_compute_verdict(context: Context) -> None:
    reds = read_known_red(context.known_red)
    context.verdict = judge(context.scenarios, reds)


@when('the verdict over the reports is computed')
def step_run_script(context: Context) -> None:
    context.process = subprocess.run(
        [sys.executable, _SCRIPT, context.directory, context.directory / 'red'],
        capture_output=True,
        text=True,
        check=False,
    )


@then('the run is {colour}')
def step_colour(context: Context, colour: str) -> None:
    assert context.verdict.green == (colour == 'green'), context.verdict


@then('the last line is "{line}"')
def step_last_line(context: Context, line: str) -> None:
    assert list(context.verdict.lines())[-1] == line


@then('a line is "{line}"')
def step_line(context: Context, line: str) -> None:
    assert line in list(context.verdict.lines())


@then('the list is refused because "{reason}"')
def step_list_refused(context: Context, reason: str) -> None:
    try:
        read_known_red(context.known_red)
    except KnownRedError as error:
        assert reason in str(error)
    else:
        raise AssertionError('the list was accepted')


@then('the exit code of the verdict is {code:d}')
def step_exit(context: Context, code: int) -> None:
    assert context.process.returncode == code, context.process


@then('its output mentions "{text}"')
def step_output(context: Context, text: str) -> None:
    assert text in context.process.stdout, context.process
