"""Steps for servers and freshness."""

from __future__ import annotations

from behave import given, step, then, when

from sardinetrack.topology.freshness import Freshness, boot_clock
from sardinetrack.topology.servers import BackendServer, ServerList
from sardinetrack.topology.starts import ServerStart


def _server(number, *, ip=None, leaving=False, started=None, revision=0):
    return BackendServer(
        f'i-{number}',
        'models',
        ip or f'10.0.0.{number}',
        80,
        'galata',
        8,
        leaving,
        started,
        revision,
    )


@when(
    'the first server is listed with start {started:d} '
    'and revision {revision:d}',
)
def list_start(context, started, revision):
    context.servers.put(
        context.now, _server(0, started=started, revision=revision)
    )


@when(
    'a side reports that the first server started at {started:d} '
    'with revision {revision:d}',
)
def report_start(context, started, revision):
    start = ServerStart('i-0', started, revision)
    context.is_new = context.servers.started(start)


@then(
    "that start is {negated} new, and the first server's start is {started:d}"
)
@then("that start is new, and the first server's start is {started:d}")
def start_is_new(context, started, negated=''):
    assert context.is_new is not bool(negated)
    has_start(context, started)


@then("the first server's start is {started:d}")
def has_start(context, started):
    server = context.servers.instances['i-0']
    assert server.started_milliseconds == started, server


@when(
    'the store is unreachable, and an invalid record is written for '
    'the first server',
)
def invalidate_first(context):
    _lose_store(context)
    context.servers.drop_unreadable('i-0', 30)


@when(
    'an invalid record was written for the first server '
    'at revision {revision:d}',
)
def invalidate_late(context, revision):
    context.servers.drop_unreadable('i-0', revision)


@given('{count:d} listed servers')
def list_servers(context, count):
    context.now = 100.0
    context.servers = ServerList()
    context.servers.replace(context.now, map(_server, range(count)))


def _lose_store(context, seconds=10.0):
    context.servers.times.confirm(context.now, context.now)
    context.now += seconds
    context.servers.times.record_failure(context.now)


@step('the store is unreachable and returns with an empty list')
def return_empty(context):
    _lose_store(context)
    context.servers.replace(context.now, ())
    context.servers.times.confirm(context.now, context.now)


def _tick(context, seconds):
    context.now += seconds
    context.servers.expire(context.now)
    available = len(context.servers.in_pool('models'))
    context.fewest_available = min(available, context.fewest_available)


@step('the store is unreachable again for {seconds:g} seconds')
def lose_again(context, seconds):
    _lose_store(context, seconds)
    context.servers.expire(context.now)


@step('the store returns with an empty list')
def return_with_none(context):
    return_listed(context, ())


@when(
    'the store returns, and the records of all expire over {seconds:g} seconds',
)
def expire_one_by_one(context, seconds):
    _lose_store(context)
    context.servers.replace(context.now, context.servers.instances.values())
    context.servers.times.confirm(context.now, context.now)
    names = sorted(context.servers.instances)
    context.fewest_available = len(names)
    for name in names:
        _tick(context, seconds / len(names))
        context.servers.remove(context.now, name)


@step('all are listed again over {seconds:g} second')
def list_one_by_one(context, seconds):
    count = len(context.servers.instances)
    for number in range(count):
        _tick(context, seconds / count)
        context.servers.put(context.now, _server(number))


@then('none of them was ever left out')
def never_left_out(context):
    assert context.fewest_available == len(context.servers.instances)


@when(
    'a call to the store fails, and it returns after {seconds:g} seconds'
    ' with an empty list'
)
def return_soon(context, seconds):
    _lose_store(context, seconds)
    return_listed(context, ())


@when('a neighbour reports an outage, and lists no server afterwards')
def neighbour_lists_none(context):
    context.servers.times.confirm(context.now, context.now)
    context.now += 4
    return_listed(context, ())


@when(
    'the last call to the store fails {seconds:g} seconds before it returns'
    ' with an empty list'
)
def return_late(context, seconds):
    _lose_store(context)
    context.now += seconds
    return_listed(context, ())


def return_listed(context, servers):
    context.servers.replace(context.now, servers)
    context.servers.times.confirm(context.now, context.now)


@step(
    'the store is unreachable and returns with a new server '
    'at the first address',
)
def return_new(context):
    _lose_store(context)
    context.servers.replace(context.now, [_server(9, ip='10.0.0.0')])


@step('the first server is listed again')
def list_again(context):
    context.servers.put(context.now, _server(0))


@step('the first server is no longer listed')
def unlist(context):
    context.servers.remove(context.now, 'i-0')


@step('the first server is draining')
def drain(context):
    context.servers.put(context.now, _server(0, leaving=True))


@step('{seconds:g} seconds pass')
@step('{seconds:g} second passes')
def wait(context, seconds):
    context.now += seconds
    context.servers.expire(context.now)


@then('{count:d} servers get work')
@then('{count:d} server gets work')
def servers_get_work(context, count):
    assert len(context.servers.in_pool('models')) == count


@then('the old one at that address gets no work')
def old_gets_none(context):
    assert context.servers.get('i-0') is None
    assert context.servers.get('i-9') is not None


@given('a bound of {seconds:g} seconds')
def bound(context, seconds):
    context.freshness = Freshness(seconds)


@when('the response to a request sent {seconds:g} seconds ago arrives')
def confirm(context, seconds):
    context.freshness.confirm(boot_clock() - seconds)


@then('keys are accepted')
def accepted(context):
    assert context.freshness.is_fresh()


@then('keys are not accepted')
def not_accepted(context):
    assert not context.freshness.is_fresh()


@when('a later server is listed at the first address')
def list_later(context):
    context.servers.put(context.now, _server(9, ip='10.0.0.0', revision=50))


@when('another server responds at the first address')
def respond_other(context):
    context.servers.record_misaddressed(context.now, 'i-0')


@when('another server responds in place of the later one')
def respond_for_later(context):
    context.servers.record_misaddressed(context.now, 'i-9')


@then('{count:d} servers get work, and the first {does}')
def first_gets_work(context, count, does):
    available = {one.instance for one in context.servers.in_pool('models')}
    assert len(available) == count, available
    assert ('i-0' in available) is (does == 'does'), available
    assert (context.servers.get('i-0') is not None) is (does == 'does')


@when('the first server announces its end')
def announce(context):
    known = context.servers.instances['i-0']
    assert context.servers.record_leaving(known.start)
    assert not context.servers.record_leaving(known.start)


@when(
    'the start {started:d} with revision {revision:d} of the first server '
    'announces its end',
)
def announce_late(context, started, revision):
    start = ServerStart('i-0', started, revision)
    assert not context.servers.record_leaving(start)


@when(
    'the start {started:d} with revision {revision:d} announces its end '
    'for the first time',
)
def announce_unlisted(context, started, revision):
    assert context.servers.record_leaving(ServerStart('i-0', started, revision))


@then('the first server is not kept')
def is_not_kept(context):
    assert 'i-0' not in context.servers.instances


@then('the first server is listed as leaving')
def listed_as_leaving(context):
    assert context.servers.instances['i-0'].leaving


@when('{count:d} other servers are listed, announce their end and disappear')
def announce_many(context, count):
    for number in range(10, 10 + count):
        server = _server(number, ip='10.0.1.1')
        context.servers.put(context.now, server)
        context.servers.record_leaving(server.start)
        context.servers.remove(context.now, server.instance)


@then('at most {count:d} announcements are kept')
def announcements_kept(context, count):
    assert len(context.servers.announced) <= count
