"""Steps for the catalogue command, against a platform in another process."""

from __future__ import annotations

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from pages import add_instance, put

_PLATFORM = 'When the process "stand-in platform" is started'
_READY = 'Then its first line is JSON with a URL'


def _page(kind: str, instance: str, revision: int) -> dict[str, object]:
    digest = {'revision': revision, 'digest': 'd'}
    if kind == 'side':
        return {'instance': instance, 'configuration': digest}
    return {'instance': instance, 'rejected': [], **digest}


def _write(context: Context, name: str, text: str) -> None:
    path = context.directory / f'{name.lower()}.json'
    path.write_text(text)
    context.words[name] = path


@given('a platform with the instances')
def step_platform(context: Context) -> None:
    context.execute_steps(f'{_PLATFORM}\n{_READY}')
    context.addresses = {}
    context.words = {}
    directory = TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    for row in context.table:
        name = row['instance']
        page = _page(row['page'], name, int(row['revision']))
        add_instance(context, name, json.dumps(page))


@given('operator settings for that platform')
def step_settings(context: Context) -> None:
    settings = {
        'role': 'operator',
        'platform': {'url': context.url, 'token': {'value': 'standin-token'}},
        'peer_secret': {'value': 'peer-word'},
    }
    _write(context, 'OPERATOR', json.dumps(settings))


@given('the entry file')
def step_entry(context: Context) -> None:
    _write(context, 'ENTRY', context.text)


@given('the instance "{name}" whose {page} page is at revision {revision:d}')
def step_at_revision(
    context: Context,
    name: str,
    page: str,
    revision: int,
) -> None:
    add_instance(context, name, json.dumps(_page(page, name, revision)))


@given('the instance "{name}" that refuses "{key}" because "{reason}"')
def step_refusing(context: Context, name: str, key: str, reason: str) -> None:
    page = _page('entry', name, 1000)
    page['rejected'] = [{'key': key, 'version': 1, 'reasons': [reason]}]
    add_instance(context, name, json.dumps(page))


@given('the platform has an outage')
def step_outage(context: Context) -> None:
    put(context, '/faults', {'outage': True})


@given('"{arguments}" was run')
def step_was_run(context: Context, arguments: str) -> None:
    context.execute_steps(f'When "{arguments}" is run')
    assert context.code == 0, context.errors


@when('the output is applied as an entry file')
def step_apply_output(context: Context) -> None:
    _write(context, 'ENTRY', context.output)
    apply = 'sardinetrack catalogue apply OPERATOR ENTRY'
    context.execute_steps(f'When "{apply}" is run')


@then('the error output mentions the address of "{name}"')
def step_address(context: Context, name: str) -> None:
    assert f'{context.addresses[name]}: behind' in context.errors
