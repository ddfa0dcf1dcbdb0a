"""Steps for the command line."""

from __future__ import annotations

import io
import json
import re
import shlex
import subprocess
import sys
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from prometheus_client import Metric

from sardinetrack import __version__
from sardinetrack.cli.check import CheckCommand
from sardinetrack.cli.exit_codes import MEANINGS
from sardinetrack.cli.parser import build_parser
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.run import COMMANDS, main
from sardinetrack.side.metrics import SideMetrics

_ENTRY = """
{
  "role": "entry", "instance": "entry-1", "failure_domain": "galata",
  "platform": {"url": "http://127.0.0.1:9000", "token": {"value": "SECRET"}},
  "peer_secret": {"value": "SECRET"},
}
"""

_PAGE = (Path(__file__).parents[3] / 'docs' / 'operators.md').read_text()
_METRIC_ROW = r'^\| `(sardinetrack_\w+)` \| (\w+) \|'


def _write(context: Context, text: str) -> None:
    directory = TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = Path(directory.name) / 'settings.json'
    context.path.write_text(text)


def _run(context: Context, arguments: list[str]) -> None:
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        try:
            context.code = main(arguments)
        except SystemExit as exit_error:
            context.code = exit_error.code
    context.output = output.getvalue()
    context.errors = errors.getvalue()


@given('a settings file of an entry with the secret "{secret}"')
def step_settings(context: Context, secret: str) -> None:
    _write(context, _ENTRY.replace('SECRET', secret))


@given('a settings file of an entry with two errors')
def step_invalid_settings(context: Context) -> None:
    _write(context, _ENTRY.replace('127.0.0.1', 'x').replace('galata', ''))


@given('a settings file that holds "{text}"')
def step_settings_text(context: Context, text: str) -> None:
    _write(context, text)


@given('a command that is interrupted')
def step_interrupted(context: Context) -> None:
    broken = patch.object(CheckCommand, 'run', side_effect=KeyboardInterrupt)
    broken.start()
    context.add_cleanup(broken.stop)


@when('"sardinetrack {arguments}" is run')
def step_run(context: Context, arguments: str) -> None:
    placeholders = {'SETTINGS': 'path', 'PORT': 'port'}
    for placeholder, name in placeholders.items():
        if name in context:
            arguments = arguments.replace(
                placeholder,
                str(getattr(context, name)),
            )
    for placeholder, path in getattr(context, 'words', {}).items():
        arguments = arguments.replace(placeholder, str(path))
    _run(context, shlex.split(arguments))


@when('the module is run as a process with "{arguments}"')
def step_process(context: Context, arguments: str) -> None:
    done = subprocess.run(
        [sys.executable, '-m', 'sardinetrack', *shlex.split(arguments)],
        capture_output=True,
        text=True,
        check=False,
    )
    context.code = done.returncode
    context.output = done.stdout
    context.errors = done.stderr


@then('the exit code is {code:d}')
def step_code(context: Context, code: int) -> None:
    assert context.code == code, (context.code, context.errors)


@then('the output mentions "{text}"')
def step_output(context: Context, text: str) -> None:
    assert text in context.output, context.output


@then('the error output mentions "{text}"')
def step_errors(context: Context, text: str) -> None:
    assert text in context.errors, context.errors


@then('the output mentions every registered command')
def step_commands(context: Context) -> None:
    for command in COMMANDS:
        assert f'    {command.name} ' in context.output, command.name


@then("every registered command's help shows its examples and exit codes")
def step_helps(context: Context) -> None:
    for command in COMMANDS:
        _run(context, [command.name, '--help'])
        assert context.code == 0
        for example in command.examples:
            assert f'  {example}\n' in context.output, context.output
        for code, meaning in MEANINGS.items():
            assert f'  {int(code):<5}{meaning}\n' in context.output


@then("every registered command's examples can be parsed")
def step_examples(context: Context) -> None:
    parser = build_parser(COMMANDS)
    for command in COMMANDS:
        assert command.examples
        for example in command.examples:
            arguments = shlex.split(example)[1:]
            assert parser.parse_args(arguments).command is command


@then("the output is the package's version")
def step_version(context: Context) -> None:
    assert context.output.strip() == __version__


@then('there is no traceback')
def step_no_traceback(context: Context) -> None:
    assert 'Traceback' not in context.errors, context.errors


@then('the output is JSON whose "{name}" is {number:g}')
def step_json(context: Context, name: str, number: float) -> None:
    assert json.loads(context.output)[name] == number


@then('neither output mentions "{text}"')
def step_neither(context: Context, text: str) -> None:
    assert text not in context.output + context.errors


@then('the output is empty')
def step_empty(context: Context) -> None:
    assert not context.output


@then('the error output has {count:d} lines')
def step_count(context: Context, count: int) -> None:
    assert len(context.errors.splitlines()) == count, context.errors


@then('docs/operators.md has one row for each exit code and no other')
def step_page(context: Context) -> None:
    listed = re.findall(r'^\| (\d+) \| (.+) \|$', _PAGE, re.MULTILINE)
    expected = [(str(int(code)), text) for code, text in MEANINGS.items()]
    assert listed == expected, listed


@then('docs/operators.md has one row for each metric and no other')
def step_metrics(context: Context) -> None:
    listed = re.findall(_METRIC_ROW, _PAGE, re.MULTILINE)
    expected = [
        (_served_name(metric), metric.type)
        for metrics in (EntryMetrics(), SideMetrics())
        for metric in metrics.registry.collect()
    ]
    assert sorted(listed) == sorted(expected), set(listed) ^ set(expected)


def _served_name(metric: Metric) -> str:
    return f'{metric.name}_total' if metric.type == 'counter' else metric.name
