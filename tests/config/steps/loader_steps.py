"""Steps for loading settings."""

from __future__ import annotations

import json
import os
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings, strategies

from sardinetrack.config.errors import SettingsError
from sardinetrack.config.loader import load_settings
from sardinetrack.config.model import EntrySettings, SideSettings
from sardinetrack.config.secret import resolve_secret

_MODELS = MappingProxyType({'entry': EntrySettings, 'side': SideSettings})
_VALID = MappingProxyType(
    {
        'role': 'entry',
        'instance': 'entry-1',
        'failure_domain': 'galata',
        'platform': {'url': 'http://127.0.0.1:1', 'token': {'value': 'word'}},
    },
)
_SCALARS = strategies.none() | strategies.integers() | strategies.text()
_TREES = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.dictionaries(
        strategies.sampled_from((*_VALID, 'peer_secret', 'surprise')),
        inner,
    ),
)


def _directory(context: Context) -> Path:
    if 'directory' not in context:
        directory = TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.directory = Path(directory.name)
    return context.directory


def _load(context: Context, path: object, role: str) -> None:
    context.problems = ()
    try:
        context.settings = load_settings(str(path), _MODELS[role])
    except SettingsError as error:
        context.problems = error.problems


@given('a settings file')
def step_settings_file(context: Context) -> None:
    context.path = _directory(context) / 'settings.json'
    context.path.write_text(context.text)


@given('a settings file that holds {text}')
def step_settings_text(context: Context, text: str) -> None:
    context.path = _directory(context) / 'settings.json'
    context.path.write_text(text.replace(r'\n', '\n'))


@given('the environment variable "{name}" is not set')
def step_variable_unset(context: Context, name: str) -> None:
    os.environ.pop(name, None)


@given('the environment variable "{name}" is "{text}"')
def step_variable(context: Context, name: str, text: str) -> None:
    os.environ[name] = text
    context.add_cleanup(os.environ.pop, name, None)


@given('a secret file that holds "{text}"')
def step_secret_file(context: Context, text: str) -> None:
    context.secret_file = _directory(context) / 'secret'
    context.secret_file.write_text(f'{text}\n')


@when('it is loaded as {role} settings')
def step_load(context: Context, role: str) -> None:
    _load(context, context.path, role)


@when('the file "{path}" is loaded as {role} settings')
def step_load_path(context: Context, path: str, role: str) -> None:
    _load(context, path, role)


@when('the secret {secret} is loaded')
def step_load_secret(context: Context, secret: str) -> None:
    text = secret.replace('SECRET_FILE', str(context.secret_file))
    path = _directory(context) / 'settings.json'
    path.write_text(json.dumps({**_VALID, 'peer_secret': json.loads(text)}))
    _load(context, path, 'entry')


@then('there is no problem')
def step_no_problem(context: Context) -> None:
    assert not context.problems, context.problems


@then('the instance is "{name}"')
def step_instance(context: Context, name: str) -> None:
    assert context.settings.instance == name


@then('the platform is at "{url}"')
def step_platform(context: Context, url: str) -> None:
    assert context.settings.platform.url == url


@then('the drain takes at most {seconds:g} seconds')
def step_drain(context: Context, seconds: float) -> None:
    assert context.settings.drain_seconds == seconds


@then('the problems are')
def step_problems(context: Context) -> None:
    found = {problem.place: problem.reason for problem in context.problems}
    expected = {row['place']: row['reason'] for row in context.table}
    assert found.keys() == expected.keys(), found
    for place, reason in expected.items():
        assert reason in found[place], found[place]


@then('the only problem is at "{place}" because "{reason}"')
def step_only_problem(context: Context, place: str, reason: str) -> None:
    assert len(context.problems) == 1, context.problems
    problem = context.problems[0]
    assert problem.place == place, problem
    assert reason in problem.reason, problem


@then('it resolves to "{text}"')
def step_resolves(context: Context, text: str) -> None:
    assert not context.problems, context.problems
    assert resolve_secret(context.settings.peer_secret) == text


@then('no problem mentions "{word}"')
def step_no_mention(context: Context, word: str) -> None:
    assert context.problems
    for problem in context.problems:
        assert word not in str(problem)


@then('any text results in settings or a list of problems')
def step_any_text(context: Context) -> None:
    _check_tree(context)
    _check_bytes(context)


@settings(max_examples=200, derandomize=True, database=None)
@for_all(tree=_TREES)
def _check_tree(context: Context, tree: object) -> None:
    _assert_problems(context, json.dumps(tree).encode())


@settings(max_examples=200, derandomize=True, database=None)
@for_all(content=strategies.binary())
def _check_bytes(context: Context, content: bytes) -> None:
    _assert_problems(context, content)


def _assert_problems(context: Context, content: bytes) -> None:
    path = _directory(context) / 'settings.json'
    path.write_bytes(content)
    _load(context, path, 'entry')
    assert context.problems
