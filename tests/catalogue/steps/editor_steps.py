"""Steps for editing the catalogue."""

from __future__ import annotations

import json
from functools import partial

import anyio
from behave import given, step, then, when
from histories import config_object

from sardinetrack.catalogue.editor import CatalogueEditor, EditConflictError
from sardinetrack.catalogue.parse import parse_operator_file
from sardinetrack.catalogue.problems import InvalidCatalogueEntryError
from sardinetrack.catalogue.rollout import ConfigStatus, wait_until_active
from sardinetrack.store.api import (
    PlatformError,
    UnavailableError,
    UncertainError,
)
from sardinetrack.store.in_process import InjectedFaults, MemoryPlatform

_PILOT = 'catalogue/workspace/pilot'
_POOL = 'catalogue/pool/ice'
_ERRORS = (InvalidCatalogueEntryError, EditConflictError, PlatformError)


class _LossyPlatform(MemoryPlatform):
    """A platform that injects a fault after, or in place of, a write."""

    def __init__(self):
        super().__init__()
        self.lose_writes = 0
        self.rejects_writes = False
        self.after_write = None
        self.before_delete = None

    async def delete(self, key, *, expected_version):
        """Call the callback, then delete."""
        if self.before_delete is not None:
            await self.before_delete()
        return await super().delete(key, expected_version=expected_version)

    async def put(self, key, value, *, expected_version):
        """Write, lose or reject the write, or call the callback after it."""
        if self.lose_writes:
            self.lose_writes -= 1
            raise UncertainError('lost before it arrived')
        if self.rejects_writes:
            raise UnavailableError('outage')
        write = partial(super().put, key, value)
        if self.after_write is None:
            return await write(expected_version=expected_version)
        callback = self.after_write
        self.after_write = None
        try:
            return await write(expected_version=expected_version)
        finally:
            await callback()


def _text(owner):
    catalogue_entry = json.loads(config_object(_PILOT, 1).value)
    return json.dumps(catalogue_entry | {'owner': owner})


def _apply(context, text, **options):
    context.error = None
    try:
        catalogue_entry = parse_operator_file(text)
        edit = partial(context.editor.apply, catalogue_entry, **options)
        context.edit = anyio.run(edit)
    except _ERRORS as error:
        context.error = error


def _remove(context, key, **options):
    context.error = None
    try:
        anyio.run(partial(context.editor.remove, key, **options))
    except _ERRORS as error:
        context.error = error


def _stored(context, key):
    return context.platform.store.get(key)


@given('a platform with workspace "pilot" of "harbour"')
def platform(context):
    context.platform = _LossyPlatform()
    context.editor = CatalogueEditor(context.platform)
    _apply(context, _text('harbour'))
    _apply(context, config_object(_POOL, 1, models=['m']).value)
    context.before = context.platform.store.revision


@when('an operator applies')
def apply_text(context):
    context.applied_text = context.text
    _apply(context, context.text)


@then('the edit is made and "{key}" contains plain JSON')
def holds_json(context, key):
    assert context.error is None, context.error
    assert context.edit.changed
    assert json.loads(_stored(context, key).value)['limits'] == {
        'concurrency': 3
    }


@when('the operator applies the same again')
def apply_again(context):
    _apply(context, context.applied_text)


@then('nothing had to be changed')
def not_changed(context):
    assert not context.edit.changed


@when('the operator removes "{key}"')
def remove(context, key):
    _remove(context, key)


@then('"{key}" is deleted')
def is_deleted(context, key):
    assert context.error is None, context.error
    assert _stored(context, key) is None


@given('an operator has read the version of "pilot"')
def read_current_version(context):
    context.read_version = _stored(context, _PILOT).version


@when('another operator applies workspace "pilot" of "{owner}"')
@when('the operator applies workspace "pilot" of "{owner}"')
def apply_owner(context, owner):
    _apply(context, _text(owner))


@when('the operator applies workspace "pilot" of "{owner}" and it fails')
def apply_fails(context, owner):
    context.read_version = _stored(context, _PILOT).version
    _apply(context, _text(owner))
    assert context.error


@when(
    'the operator applies workspace "pilot" of "first"'
    ' with the version that was read'
)
def apply_over(context):
    _apply(context, _text('first'), expected_version=context.read_version)


@when('the operator removes "pilot" with the version that was read')
def remove_over(context):
    _remove(context, _PILOT, expected_version=context.read_version)


@then('the edit conflicts and the error names both versions')
def conflicts(context):
    assert isinstance(context.error, EditConflictError), repr(context.error)
    now = _stored(context, _PILOT).version
    assert f'version {context.read_version}' in str(context.error)
    assert f'version {now}' in str(context.error)
    assert context.error.current.version == now


@then('workspace "pilot" in the platform belongs to "{owner}"')
def platform_owner(context, owner):
    assert json.loads(_stored(context, _PILOT).value)['owner'] == owner


@given('the responses to the next {count:d} writes are lost')
def lose_replies(context, count):
    context.before = context.platform.store.revision
    context.platform.apply_faults(InjectedFaults(lose_replies=count))


@given('the next {count:d} writes are lost before they arrive')
def lose_writes(context, count):
    context.platform.lose_writes = count


@given('the next {count:d} writes are lost and later ones rejected')
def lose_then_refuse(context, count):
    context.platform.lose_writes = count
    context.platform.rejects_writes = True


@given('another operator overwrites the next edit of "pilot"')
def overwrite(context):
    context.platform.after_write = _overwriting(context)


@given('another operator overwrites "pilot" before the next deletion')
def overwrite_before(context):
    context.platform.before_delete = _overwriting(context)


def _overwriting(context):
    value = _text('faster').encode()
    write = partial(MemoryPlatform.put, context.platform, _PILOT, value)
    return partial(write, expected_version=None)


@when('the operator removes workspace "pilot" and it fails')
def remove_fails(context):
    context.read_version = _stored(context, _PILOT).version
    _remove(context, _PILOT)
    assert context.error


@given('the platform fails after the next write, whose response is lost')
def fail_after_write(context):
    context.platform.apply_faults(InjectedFaults(lose_replies=1))
    context.platform.after_write = partial(_take_down, context.platform)


async def _take_down(platform):
    await anyio.lowlevel.checkpoint()
    platform.apply_faults(InjectedFaults(outage=True))


@then('the outcome is reported as uncertain')
def is_uncertain(context):
    assert isinstance(context.error, UncertainError), repr(context.error)


@then('the edit is made once')
def made_once(context):
    assert context.error is None, context.error
    assert context.platform.store.revision == context.before + 1
    assert context.edit.version == context.before + 1


@when('the operator applies {{{fields} and it fails')
def apply_bad(context, fields):
    _apply(context, f'{{{fields}')


@when('the operator applies 5 and it fails')
def apply_number(context):
    _apply(context, '5')


@then('the error names {place} and {reason}')
def error_names(context, place, reason):
    assert isinstance(context.error, InvalidCatalogueEntryError), repr(
        context.error
    )
    assert place in str(context.error), context.error
    assert reason in str(context.error), context.error


@step('nothing was written to the platform')
def not_written(context):
    assert context.platform.store.revision == context.before


@given('instances that activate version 7 one after another')
def instances(context):
    context.rounds = 0
    context.reasons = ()


async def _discover(context):
    context.rounds += 1
    joined = ['e4'] if context.rounds > 1 else []
    return ['e1', 'e2', 'e3', *joined]


async def _fetch(context, address):
    if address == 'e3' and context.rounds < 2:
        return None
    lags = address == 'e2' and context.rounds < 3
    rejected = {'k': context.reasons} if address == 'e1' else {}
    return ConfigStatus(address, 6 if lags else 7, 'digest', rejected)


def _wait(context, version, seconds):
    wait = partial(
        wait_until_active,
        partial(_discover, context),
        partial(_fetch, context),
        key='k',
        version=version,
        timeout_seconds=seconds,
    )
    context.rollout = anyio.run(wait)


@when('the operator waits for version {version:d}')
def wait(context, version):
    _wait(context, version, 20)


@when('the operator waits for version {version:d} for a short time')
def wait_short(context, version):
    _wait(context, version, 0.1)


@then('it is active at all {count:d} instances')
def all_in_force(context, count):
    assert context.rollout.complete, context.rollout
    assert len(context.rollout.in_force) == count, context.rollout


@then('it is active at no instance and {count:d} are behind')
def all_behind(context, count):
    assert not context.rollout.in_force, context.rollout
    assert len(context.rollout.behind) == count, context.rollout


@given('an instance rejects "k" with "{reason}"')
def reject(context, reason):
    context.reasons = (reason,)


@then('the rejection by {count:d} instance is reported')
def rejection_reported(context, count):
    assert not context.rollout.complete, context.rollout
    assert context.rollout.rejected == {'e1': context.reasons}
    assert len(context.rollout.rejected) == count
