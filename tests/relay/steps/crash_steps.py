"""Steps for requests that crash servers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from unittest import mock

from behave import given, then, when
from tests.support.relay_servers import SharedActs

from sardinetrack.placement.prompt import Prompt
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.crashes import CrashWatch, fingerprint
from sardinetrack.relay.side_links import broadcast_sides

_BODY = b'the report that crashes'


@dataclass(frozen=True)
class _Link:
    name: str
    failure_domain: str


def _call():
    return CallerRequest(
        'r1', b'POST', b'/x/1', 'h', '/x/1', b'', _BODY, 0, 1, '', Prompt()
    )


@when('a report crashes every server that runs it')
def crash_every(context):
    for server in context.world.servers:
        server.deadly = _BODY


@when('every server resets the connections of its next {count:d} requests')
def reset_many(context, count):
    for server in context.world.servers:
        server.acts.extend('reset' for _ in range(count))


@when('a caller sends the same report {count:d} times')
def send_same(context, count):
    world = context.world

    async def play():
        for _ in range(count):
            context.reply = await world.call(
                'report',
                body=_BODY,
                target='same',
            )

    world.run(play())


@when('another caller sends its own report')
def send_other(context):
    world = context.world
    context.reply = world.run(world.call('report', body=b'another'))


@then('{count:d} servers crashed')
def crashed(context, count):
    down = [one for one in context.world.servers if one.down]
    assert len(down) == count, len(down)


@then('the last response is 503 and says when to retry')
def refused(context):
    assert context.reply.status == 503, context.reply.raw
    assert context.reply.retry_after > 0


@then('no request is suspected')
def none_suspected(context):
    assert not context.world.entry_state.crashes.strike_registry


@given('a crash watch')
def open_watch(context):
    context.watch = CrashWatch(mock.Mock())


@when('the connection of a request to {server} ends')
def connection_ends(context, server):
    context.watch.connection_ended(100.0, server, _call(), 'pilots')


@when('{server} is unreachable {seconds:f} seconds later')
def is_unreachable(context, server, seconds):
    context.watch.confirm_crash(100.0 + seconds, server)


@then('the request has {count:d} strike')
@then('the request has {count:d} strikes')
def has_strikes(context, count):
    name = fingerprint(_call(), 'pilots')
    assert context.watch.strike_registry.count(105.0, name) == count


@given('links to {sides:d} sides in each of {domains:d} failure domains')
def open_links(context, sides, domains):
    context.links = [
        _Link(f'10.0.{domain}.{side}', f'zone-{domain}')
        for domain in range(domains)
        for side in range(sides)
    ]


@then('strikes are sent through {count:d} side of each')
def through_each(context, count):
    chosen = Counter(
        link.failure_domain for link in broadcast_sides(context.links)
    )
    assert set(chosen.values()) == {count}, chosen
    assert len(chosen) == len({one.failure_domain for one in context.links})


@then(
    'while the sides of one failure domain are unreachable, '
    'through the {count:d} others'
)
def through_others(context, count):
    lost = context.links[0].failure_domain
    left = [link for link in context.links if link.failure_domain != lost]
    assert len(broadcast_sides(left)) == count, broadcast_sides(left)


@when('a stream crashes its server before its first event')
def crash_on_stream(context):
    world = context.world
    acts = SharedActs('crash')
    for server in world.servers:
        server.acts = acts
    context.reply = world.run(world.call('stream'))


@when('a caller requests another stream')
def another_stream(context):
    context.world.run(context.world.call('stream'))


@then('the line about the crash has the shared parts of that prompt')
def crash_line(context):
    lines = context.world.lines()
    crashes = [one for one in lines if one['event'] == 'server_crashed']
    parts = [list(one['without_event'].values()) for one in crashes]
    assert parts == [[['a1', 'b2']]], crashes
    sent = [one for one in lines if one['event'] == 'request_sent']
    assert all(one['shared_parts'] == ['a1', 'b2'] for one in sent), sent


@when('a stream without shared parts crashes every server after its head')
def crash_after_head(context):
    for server in context.world.servers:
        server.acts.append('begin_and_crash')


@when('a caller sends that stream {count:d} times')
def send_stream(context, count):
    world = context.world
    prompt = ('X-Sardinetrack-Prefix-Hash: c3:100',)

    async def play():
        for _ in range(count):
            context.reply = await world.call('stream', prompt, target='same')

    world.run(play())
