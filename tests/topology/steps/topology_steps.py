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
    context.servers.put(_server(0, started=started, revision=revision))


@when(
    'a side tells that the first server started at {started:d} '
    'with revision {revision:d}',
)
def tell_start(context, started, revision):
    start = ServerStart('i-0', started, revision)
    context.news = context.servers.started(start)


@then("that is {some} news, and the first server's start is {started:d}")
@then("that is news, and the first server's start is {started:d}")
def is_news(context, started, some=''):
    assert context.news is not bool(some)
    has_start(context, started)


@then("the first server's start is {started:d}")
def has_start(context, started):
    server = context.servers.instances['i-0']
    assert server.started_milliseconds == started, server


@when(
    'the store is away, and something else is written for the first server',
)
def refuse_first(context):
    context.servers.outage(context.now)
    context.servers.refuse('i-0', 30)


@when(
    'something else was written for the first server at revision {revision:d}',
)
def refuse_late(context, revision):
    context.servers.refuse('i-0', revision)


@given('{count:d} listed servers')
def list_servers(context, count):
    context.now = 100.0
    context.servers = ServerList()
    context.servers.replace(context.now, map(_server, range(count)))


@step('the store is away and comes back with an empty list')
def come_back_empty(context):
    context.servers.outage(context.now)
    context.servers.replace(context.now, ())


def _tick(context, seconds):
    context.now += seconds
    context.servers.expire(context.now)
    working = len(context.servers.of_pool('models'))
    context.least_working = min(working, context.least_working)


@when(
    'the store is back, and the entries of all lapse over {seconds:g} seconds',
)
def lapse_in_turn(context, seconds):
    context.servers.outage(context.now)
    names = sorted(context.servers.instances)
    context.least_working = len(names)
    for name in names:
        _tick(context, seconds / len(names))
        context.servers.remove(context.now, name)


@step('all are listed again over {seconds:g} second')
def list_in_turn(context, seconds):
    count = len(context.servers.instances)
    for number in range(count):
        _tick(context, seconds / count)
        context.servers.put(_server(number))


@then('none of them was ever left out')
def never_left_out(context):
    assert context.least_working == len(context.servers.instances)


@step(
    'the store is away and comes back with a new server at the first address',
)
def come_back_new(context):
    context.servers.outage(context.now)
    context.servers.replace(context.now, [_server(9, ip='10.0.0.0')])


@step('the first server is listed again')
def list_again(context):
    context.servers.put(_server(0))


@step('the first server vanishes')
def vanish(context):
    context.servers.remove(context.now, 'i-0')


@step('the first server is leaving')
def leave(context):
    context.servers.put(_server(0, leaving=True))


@step('{seconds:g} seconds pass')
def wait(context, seconds):
    context.now += seconds
    context.servers.expire(context.now)


@then('{count:d} servers take work')
@then('{count:d} server takes work')
def take_work(context, count):
    assert len(context.servers.of_pool('models')) == count


@then('the old one at that address takes no work')
def old_is_gone(context):
    assert context.servers.get('i-0') is None
    assert context.servers.get('i-9') is not None


@given('a bound of {seconds:g} seconds')
def bound(context, seconds):
    context.freshness = Freshness(seconds)


@when('an answer comes to a question of {seconds:g} seconds ago')
def confirm(context, seconds):
    context.freshness.confirm(boot_clock() - seconds)


@then('keys are taken as valid')
def valid(context):
    assert context.freshness.holds()


@then('keys are not taken as valid')
def not_valid(context):
    assert not context.freshness.holds()


@when('a later server is listed at the first address')
def list_later(context):
    context.servers.put(_server(9, ip='10.0.0.0', revision=50))


@when('another server answers at the first address')
def answer_other(context):
    context.servers.disown(context.now, 'i-0')


@when('another server answers for the later one')
def answer_for_later(context):
    context.servers.disown(context.now, 'i-9')


@then('{count:d} servers take work, and the first {does}')
def first_works(context, count, does):
    working = {one.instance for one in context.servers.of_pool('models')}
    assert len(working) == count, working
    assert ('i-0' in working) is (does == 'does'), working
    assert (context.servers.get('i-0') is not None) is (does == 'does')
