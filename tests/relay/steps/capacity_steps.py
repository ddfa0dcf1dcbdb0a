"""Steps for what one entry takes on, without a network."""

from __future__ import annotations

from collections import Counter

from behave import given, step, then, when
from tests.support.example_settings import node_settings

from sardinetrack.relay.capacity import LATE_SECONDS, Capacity, Crowd

_MEGABYTE = 1_000_000
_CONNECTIONS = 700


class _Entry:
    """Counts requests as an entry does; none ends by itself."""

    def __init__(self, memory_bytes):
        self.used_bytes = 50 * _MEGABYTE
        settings = node_settings(memory_bytes=memory_bytes)
        self.capacity = Capacity(settings, lambda: self.used_bytes)
        self.under_way = Counter()

    def takes(self, workspace):
        own = self.under_way[workspace]
        active = {name for name, count in self.under_way.items() if count}
        crowd = Crowd(
            self.under_way.total(),
            own,
            len(active | {workspace}),
        )
        return self.capacity.takes(crowd)

    def ask(self, workspace):
        if self.takes(workspace):
            self.under_way[workspace] += 1


@given('an entry of {megabytes:d} MB')
def open_entry(context, megabytes):
    context.entry = _Entry(megabytes * _MEGABYTE)


@step('{workspace} asks {count:d} times, and nothing ends')
def ask_often(context, workspace, count):
    for _ in range(count):
        context.entry.ask(workspace)


@when('{workspaces:d} workspaces ask {count:d} times each, and nothing ends')
def ask_in_turn(context, workspaces, count):
    for _ in range(count):
        for workspace in range(workspaces):
            context.entry.ask(f'w{workspace}')


@when('its loop is {seconds:d} second late')
def be_late(context, seconds):
    assert seconds > LATE_SECONDS
    context.entry.capacity.note_late(seconds)


@when('it uses {megabytes:d} MB')
def use_memory(context, megabytes):
    entry = context.entry
    entry.used_bytes = megabytes * _MEGABYTE
    requests = entry.under_way.total()
    assert entry.capacity.note_memory(requests, _CONNECTIONS)


@when('{count:d} of its requests end')
def end_some(context, count):
    context.entry.under_way['agency'] -= count


@then('{workspace} is refused')
def is_refused(context, workspace):
    assert not context.entry.takes(workspace)


@then('{workspace} is taken in')
def is_taken(context, workspace):
    assert context.entry.takes(workspace)


@then('none has more than a fifth more than another')
def shared_evenly(context):
    counts = context.entry.under_way.values()
    assert max(counts) <= 1.2 * min(counts), counts


@then('it keeps no more connections than it had')
def keeps_connections(context):
    assert context.entry.capacity.connections == _CONNECTIONS
