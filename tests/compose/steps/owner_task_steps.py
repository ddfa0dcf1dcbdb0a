"""Steps for the tasks that a process needs until it ends."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from tests.support.example_settings import node_settings
from tests.support.no_feeds import idle_watcher

from sardinetrack.logs.events import EventLog
from sardinetrack.platform.protocol_adapter import PlatformProtocolAdapter
from sardinetrack.relay.entry import Entry
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.turns.engine_monitor import EngineSource
from sardinetrack.turns.side import SideServer

_FAULT = RuntimeError('unexpected')
_POLL_SECONDS = 0.02
_POLLS = 1000


class _FailsOnce:
    """Raises at its first call, and counts those after it."""

    def __init__(self):
        self.later_calls = 0
        self._raised = False

    def __call__(self, *_args, **_named):
        if not self._raised:
            self._raised = True
            raise _FAULT
        self.later_calls += 1


class _View:
    """Runs until it is cancelled, after its first error."""

    def __init__(self):
        self.work = _FailsOnce()

    async def run(self):
        self.work()
        await asyncio.Event().wait()


def _open(context, build):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_path = Path(folder.name) / 'log'
    fileno = os.open(context.log_path, os.O_CREAT | os.O_WRONLY)
    context.log = EventLog(fileno, 'node')

    async def enter():
        context.owner = build()
        await context.owner.__aenter__()

    context.runner.run(enter())
    context.add_cleanup(
        lambda: context.runner.run(context.owner.__aexit__(None, None, None))
    )


@given('an entry on loopback')
def open_entry(context):
    context.view = _View()

    def build():
        state = EntryState(node_settings(), context.log)
        return Entry(state, PlatformProtocolAdapter(), context.view)

    _open(context, build)


@given('a side on loopback')
def open_side(context):
    def build():
        source = EngineSource(('127.0.0.1', 1), '/report', bytes)
        watcher = idle_watcher(context.log)
        return SideServer(('127.0.0.1', 0), watcher, context.log, source)

    _open(context, build)


def _replace(context, owner, name):
    context.work = _FailsOnce()
    patch = mock.patch.object(owner, name, context.work)
    patch.start()
    context.add_cleanup(patch.stop)


@when('the sweep raises an unexpected error once')
def fail_sweep(context):
    _replace(context, context.owner, '_update_memory')


@when('the view raises an unexpected error once')
def fail_view(context):
    context.work = context.view.work


@when('the load reports raises an unexpected error once')
def fail_reports(context):
    _replace(context, context.owner.usage, 'log_if_due')


@when('the engine polls raises an unexpected error once')
def fail_polls(context):
    _replace(context, context.owner, 'engine_polled')


@when('the check of one of two requests raises an unexpected error')
def fail_check(context):
    checks = (mock.Mock(side_effect=_FAULT), mock.Mock())
    context.other_check = checks[1]
    requests = [SimpleNamespace(check=check) for check in checks]
    patch = mock.patch.object(context.owner, '_exchanges', requests)
    patch.start()
    context.add_cleanup(patch.stop)


async def _until(condition, what):
    for _ in range(_POLLS):
        if condition():
            return
        await asyncio.sleep(_POLL_SECONDS)
    raise AssertionError(f'in vain: {what}')


@then('the error is logged as a fault')
def fault_logged(context):
    def is_logged():
        context.log.flush()
        lines = context.log_path.read_text().splitlines()
        events = [json.loads(line) for line in lines]
        return any(
            one['event'] == 'fault' and 'unexpected' in one['cause']
            for one in events
        )

    context.runner.run(_until(is_logged, 'a line of the fault'))


@then('{task} works again')
def works_again(context, task):
    condition = lambda: context.work.later_calls  # noqa: E731
    context.runner.run(_until(condition, task))


@then('the other request is checked')
def other_checked(context):
    called = context.other_check
    context.runner.run(_until(lambda: called.called, 'the other check'))
