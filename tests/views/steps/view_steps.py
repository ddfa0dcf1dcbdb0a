"""Steps for borrowed views, on virtual time."""

from __future__ import annotations

import asyncio
import os

from behave import given, step, then, when
from tests.support.loop_tasks import cancel_other_tasks
from tests.support.view_world import (
    CONFIG,
    LEAVING,
    SERVERS,
    Taker,
    ViewWorld,
)
from tests.support.virtual_time import VirtualTimeLoop

from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.views.borrowed import BorrowedView
from sardinetrack.views.messages import ViewConfirmed, ViewObject, ViewObjects
from sardinetrack.views.watcher import VIEW_WATCH_SECONDS


@given('{entries:d} entries, {sides:d} sides and a store with a configuration')
def open_world(context, entries, sides):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(_close, context)
    pipe = os.pipe()

    async def build():
        return ViewWorld(entries, sides, pipe[1])

    context.world = context.loop.run_until_complete(build())


def _close(context):
    async def close():
        await cancel_other_tasks()

    context.loop.run_until_complete(close())
    context.loop.close()


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@when('they have run for {seconds:d} seconds')
def run_on(context, seconds):
    _run(context, asyncio.sleep(seconds))


@when('they have run for {seconds:d} seconds with a change each second')
def run_with_changes(context, seconds):
    async def play():
        world = context.world
        context.delays = []
        for _ in range(seconds):
            since = await world.change()
            await asyncio.sleep(1)
            version = world.table.revision
            context.delays.append(world.worst_delay(version, since))

    _run(context, play())


@then('every entry has had each change within {seconds:f} seconds')
def had_each(context, seconds):
    # No entry has the configuration in the first seconds.
    assert max(context.delays[2:]) <= seconds, context.delays


@then('the store got at most {calls:d} calls')
def few_calls(context, calls):
    total = context.world.table.calls.total()
    assert total <= calls, context.world.table.calls


@when('the watcher receives nothing more from the store')
def silence(context):
    context.world.watcher.way.silent = True


@when('the watcher crashes')
def crash(context):
    context.crashed = context.world.watcher

    async def play():
        context.world.kill(context.crashed)

    _run(context, play())


@when('the store refuses the watcher')
def refuse(context):
    context.world.watcher.way.refused = True
    _run(context, context.world.table.wake())


@when('a change is made')
def change(context):
    context.since = _run(context, context.world.change())


@then('every entry has the change within {seconds:f} seconds')
def has_change(context, seconds):
    _run(context, asyncio.sleep(seconds))
    world = context.world
    delay = world.worst_delay(world.table.revision, context.since)
    assert delay <= seconds, delay


@then('another side watches within {seconds:d} seconds')
def other_watches(context, seconds):
    _run(context, asyncio.sleep(seconds))
    subscriber_count = context.world.watcher.watcher.subscribers
    assert context.world.watcher is not context.crashed
    assert subscriber_count == len(context.world.entries), subscriber_count


@when('entry {number:d} is disconnected from the store')
def disconnect(context, number):
    context.world.entries[number - 1].way.silent = True


@then('the view of entry {number:d} is at most {seconds:f} seconds old')
def is_fresh(context, number, seconds):
    age = context.world.entries[number - 1].age_seconds
    assert age <= seconds, age


@when('entry {number:d} is suspended for {seconds:d} seconds')
def suspend(context, number, seconds):
    """Buffer the neighbour's messages; the entry's timers don't run either."""

    async def play():
        entry = context.world.entries[number - 1]
        entry.suspended = True
        entry.task.cancel()
        # Long enough for one confirmation to arrive in the buffer.
        await asyncio.sleep(1.1)
        waiting = list(entry.buffer)
        await asyncio.sleep(seconds - 1.1)
        entry.suspended = False
        assert waiting
        for name, message in waiting:
            entry.source.take(name, message)

    _run(context, play())


@then(
    'the view of entry {number:d} looks {seconds:d} seconds old '
    'after the suspension',
)
def looks_old(context, number, seconds):
    age = context.world.entries[number - 1].age_seconds
    assert age >= seconds, age


@when('the store is unreachable for {seconds:d} seconds')
def outage(context, seconds):
    async def play():
        table = context.world.table
        context.calls_before = dict(table.calls)
        table.away = True
        await table.wake()
        await asyncio.sleep(seconds)
        context.calls_after = dict(table.calls)
        table.away = False
        context.returned = context.loop.time()

    _run(context, play())


@when('the store ends the watches')
def end_watches(context):
    async def play():
        table = context.world.table
        context.calls_before = dict(table.calls)
        table.away = True
        await table.wake()
        await asyncio.sleep(0.05)
        table.away = False

    _run(context, play())


@then('no entry has called the store in the next {seconds:d} seconds')
def no_calls(context, seconds):
    async def play():
        context.returned = context.loop.time()
        await asyncio.sleep(seconds)

    _run(context, play())
    for name, calls in context.world.table.calls.items():
        if name.startswith('entry'):
            assert calls == context.calls_before[name], name


@then('it was called at most {calls:d} times during that time')
def seldom_called(context, calls):
    before = sum(context.calls_before.values())
    assert sum(context.calls_after.values()) - before <= calls


@then('every entry reads it again within {seconds:f} seconds')
def reads_again(context, seconds):
    _run(context, asyncio.sleep(seconds))
    for entry in context.world.entries:
        confirmed = entry.takers[CONFIG].confirmed_seconds
        assert confirmed >= context.returned - 0.1, entry.age_seconds


@then('at most {count:d} sides watch and every entry subscribes to one')
def all_subscribe(context, count):
    subscriber_counts = [
        side.watcher.subscribers for side in context.world.sides if side.watches
    ]
    assert len(subscriber_counts) <= count, subscriber_counts
    assert sum(subscriber_counts) == len(context.world.entries), (
        subscriber_counts
    )


@given('{count:d} servers in the store')
def write_servers(context, count):
    async def write():
        for number in range(1, count + 1):
            await context.world.table.write(f'{SERVERS}i-{number}')

    _run(context, write())


@when('all is well')
def no_trouble(context):
    """Leave everything as it is."""


@when('the responses for the servers are lost')
def lose_responses(context):
    context.world.table.losses[SERVERS] += 1


@when('the store refuses all sides')
def refuse_sides(context):
    for side in context.world.sides:
        side.way.refused = True
    _run(context, context.world.table.wake())


@when('the store refuses all sides by turns')
def refuse_by_turns(context):
    async def turn():
        for number in range(8):
            for side in context.world.sides:
                side.way.refused = not number % 2
            await context.world.table.wake()
            await asyncio.sleep(0.6)

    context.turns = context.loop.create_task(turn())
    _run(context, asyncio.sleep(0.1))


@step('server {number:d} leaves')
def report_leaving(context, number):
    table = context.world.table
    _run(context, table.write(f'{SERVERS}i-{number}', LEAVING))


@step('server {number:d} is removed')
def remove_server(context, number):
    _run(context, context.world.table.remove(f'{SERVERS}i-{number}'))


def _working(context):
    """Return the servers that some entry sends work, and that all do."""
    sets = [entry.takers[SERVERS].working() for entry in context.world.entries]
    return set.union(*sets), set.intersection(*sets)


@then('server {number:d} gets no work after {seconds:g} seconds')
def gets_none(context, number, seconds):
    _run(context, asyncio.sleep(seconds))
    by_any, _ = _working(context)
    assert f'{SERVERS}i-{number}' not in by_any, by_any


@then('servers 2 and 3 get work')
def others_work(context):
    _, by_all = _working(context)
    assert by_all == {f'{SERVERS}i-{one}' for one in (2, 3)}, by_all


@when(
    'the store is unreachable for {seconds:d} seconds, and all servers expire'
)
def expire_in_outage(context, seconds):
    outage(context, seconds)
    for key in list(context.world.table.objects):
        if key.startswith(SERVERS):
            _run(context, context.world.table.remove(key))


@when('{seconds:g} seconds later it is unreachable again')
def fail_again(context, seconds):
    async def play():
        await asyncio.sleep(seconds)
        context.world.table.away = True
        await context.world.table.wake()

    _run(context, play())


@then('all servers get work during the next {seconds:d} second')
@then('all servers get work during the next {seconds:d} seconds')
def all_work(context, seconds):
    for _ in range(10 * seconds):
        _run(context, asyncio.sleep(0.1))
        _, by_all = _working(context)
        assert len(by_all) == 3, by_all


@when('servers 2 and 3 are listed again')
def list_again(context):
    for number in (2, 3):
        _run(context, context.world.table.write(f'{SERVERS}i-{number}'))


@when('all entries stop')
def stop_all(context):
    async def play():
        for entry in context.world.entries:
            entry.stop()

    _run(context, play())


@then('no side watches after {seconds:d} seconds')
def none_watches(context, seconds):
    async def play():
        await asyncio.sleep(seconds)
        before = context.world.table.calls.total()
        await asyncio.sleep(10)
        assert context.world.table.calls.total() == before

    _run(context, play())


@given('an entry that has read the store at {seconds:f} seconds')
def direct_view(context, seconds):
    loop = VirtualTimeLoop()
    context.add_cleanup(loop.close)
    context.now = seconds
    context.taker = Taker(loop)
    context.view = BorrowedView(
        context.taker, lambda: context.now, VIEW_WATCH_SECONDS
    )
    context.view.listed(Listing(7, (_object('own', 7),)))


@given('an entry that has read nothing')
def no_view(context):
    loop = VirtualTimeLoop()
    context.add_cleanup(loop.close)
    context.now = 10
    context.taker = Taker(loop)
    context.view = BorrowedView(
        context.taker, lambda: context.now, VIEW_WATCH_SECONDS
    )


@when('a neighbour sends a view that it does not confirm')
def send_unconfirmed(context):
    _send(context, ('lent',), 6, None)


@when('that neighbour sends a deletion at {seconds:f} seconds, and is lost')
def delete_through_neighbour(context, seconds):
    context.now = seconds
    removed = ViewObject(f'{CONFIG}lent', 9, b'', deleted=True)
    context.view.receive_objects(
        ViewObjects(CONFIG, 9, complete=False, objects=(removed,)),
    )
    context.view.reset()


@when(
    'a neighbour sends an older view that was complete at {seconds:f} seconds'
)
def send_older(context, seconds):
    context.taker.known = {}
    _send(context, ('lent',), 6, seconds)


@then('the older view is not in effect')
def older_not_in_effect(context):
    borrowed_not_in_effect(context)


def _object(name, version):
    return StoredObject(f'{CONFIG}{name}', version, b'{}')


@when('a neighbour sends a view that was complete at {seconds:f} seconds')
def send_view(context, seconds):
    _send(context, ('lent',), 6, seconds)


@when('a change of the object reaches the entry at {seconds:f} seconds')
def change_directly(context, seconds):
    context.now = seconds
    context.view.changed(_object('own', 8))


@when('a deletion reaches the entry at {seconds:f} seconds')
def delete_directly(context, seconds):
    context.now = seconds
    removed = StoredObject(f'{CONFIG}own', 8, b'', deleted=True)
    context.view.changed(removed)


@when(
    'a neighbour sends the changed object, complete at {seconds:f} seconds',
)
def send_change(context, seconds):
    _send(context, ('own', 'lent'), 8, seconds)


def _send(context, names, version, seconds):
    sent = tuple(
        ViewObject(f'{CONFIG}{name}', version, b'{}', deleted=False)
        for name in names
    )
    view = context.view
    view.receive_objects(
        ViewObjects(CONFIG, version, complete=True, objects=sent),
    )
    if seconds is not None:
        view.receive_confirmation(ViewConfirmed(CONFIG, seconds))
    if view.ready:
        view.borrow()


@when('the direct feed delivers an older object')
def deliver_late(context):
    context.view.listed(Listing(5, (_object('own', 5),)))
    context.view.changed(_object('own', 5))


@then("the entry's direct view stays in effect")
def direct_in_effect(context):
    assert set(context.taker.known) == {f'{CONFIG}own'}


@then("the neighbour's view is in effect")
def borrowed_in_effect(context):
    assert f'{CONFIG}lent' in context.taker.known


@then("the neighbour's view is not in effect")
def borrowed_not_in_effect(context):
    assert f'{CONFIG}lent' not in context.taker.known
