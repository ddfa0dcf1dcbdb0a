"""Steps for crowds of callers that do not behave, against a real entry."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import AsyncExitStack

from behave import given, step, then, when
from tests.support.entry_world import EntryWorld
from tests.support.hostile_crowd import HostileCrowd, single_request

_MEGABYTE = 1_000_000


@given('an entry of 110 MB for heads of 64 KiB and bodies of 1 MiB')
def open_world(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.stack = AsyncExitStack()
    context.add_cleanup(lambda: context.runner.run(context.stack.aclose()))
    context.world = EntryWorld(folder.name)
    context.runner.run(context.stack.enter_async_context(context.world))
    assert context.runner.run(context.world.request_until_served())


@when('{count:d} connections send {form} and stay open')
def send_forms(context, count, form):
    context.crowd = HostileCrowd(context.world.callers, form, count)
    context.runner.run(context.crowd.__aenter__())


@step('they disconnect')
def disconnect(context):
    context.runner.run(context.crowd.__aexit__())


@then('an ordinary caller is served')
def ordinary_served(context):
    served = context.runner.run(context.world.request_until_served())
    entry = context.world.entry
    assert served, f'not served; the entry runs: {entry.running}'


@then('the entry still runs')
def still_runs(context):
    assert context.world.entry.running


@then('it has never used more than {megabytes:d} MB')
def memory_within(context, megabytes):
    used = context.world.entry.peak_bytes
    assert used <= megabytes * _MEGABYTE, f'{used / _MEGABYTE:.0f} MB'


@then('it has {count:d} descriptors at most')
def descriptors_within(context, count):
    used = context.world.entry.descriptors
    assert used <= count, used


@then('{megabytes:d} MB at most wait unread in its sockets')
def unread_within(context, megabytes):
    unread = context.world.entry.unread_bytes('callers')
    assert unread <= megabytes * _MEGABYTE, f'{unread / _MEGABYTE:.0f} MB'


@when('a caller sends one complete request of {form}')
def send_single(context, form):
    context.status = context.runner.run(
        single_request(context.world.callers, form)
    )


@then('it is served')
def served(context):
    assert context.status == 200, context.status
