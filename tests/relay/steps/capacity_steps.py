"""Steps for how many requests one entry accepts, without a network."""

from __future__ import annotations

from collections import Counter

from behave import given, step, then, when
from tests.support.example_settings import node_settings

from sardinetrack.relay.capacity import (
    OVERLOADED_LATE_SECONDS,
    Capacity,
    RequestCounts,
)

_MEGABYTE = 1_000_000
_CONNECTIONS = 700


class _Entry:
    """Counts requests as an entry does; none ends by itself."""

    def __init__(self, memory_bytes):
        self.used_bytes = 50 * _MEGABYTE
        settings = node_settings(memory_bytes=memory_bytes)
        self.capacity = Capacity(settings, lambda: self.used_bytes)
        self.in_progress = Counter()

    def accepts(self, workspace):
        of_workspace = self.in_progress[workspace]
        active = {name for name, count in self.in_progress.items() if count}
        counts = RequestCounts(
            self.in_progress.total(),
            of_workspace,
            len(active | {workspace}),
        )
        return self.capacity.accepts(counts)

    def send(self, workspace):
        if self.accepts(workspace):
            self.in_progress[workspace] += 1


@given('an entry of {megabytes:d} MB')
def open_entry(context, megabytes):
    context.entry = _Entry(megabytes * _MEGABYTE)


@step('{workspace} sends {count:d} requests, and none ends')
def send_requests(context, workspace, count):
    for _ in range(count):
        context.entry.send(workspace)


@when('{workspaces:d} workspaces send {count:d} requests each, and none ends')
def send_alternately(context, workspaces, count):
    for _ in range(count):
        for workspace in range(workspaces):
            context.entry.send(f'w{workspace}')


@when('its event loop is {seconds:d} second late')
def be_late(context, seconds):
    assert seconds > OVERLOADED_LATE_SECONDS
    context.entry.capacity.update_lateness(seconds)


@when('it uses {megabytes:d} MB')
def use_memory(context, megabytes):
    entry = context.entry
    entry.used_bytes = megabytes * _MEGABYTE
    requests = entry.in_progress.total()
    assert entry.capacity.update_memory(requests, _CONNECTIONS)


@when('{count:d} of its requests end')
def end_some(context, count):
    context.entry.in_progress['agency'] -= count


@then('{workspace} is refused')
def is_refused(context, workspace):
    assert not context.entry.accepts(workspace)


@then('{workspace} is accepted')
def is_accepted(context, workspace):
    assert context.entry.accepts(workspace)


@then('none has more than a fifth more than another')
def shared_evenly(context):
    counts = context.entry.in_progress.values()
    assert max(counts) <= 1.2 * min(counts), counts


@then('it keeps no more connections than it had')
def keeps_connections(context):
    assert context.entry.capacity.connections == _CONNECTIONS
