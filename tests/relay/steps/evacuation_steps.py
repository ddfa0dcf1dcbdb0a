"""Steps for evacuated failure domains and cold servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import given, then, when
from tests.support.relay_world import RelayWorld, close_world

from sardinetrack.admission.request import AdmissionRequest, Granted
from sardinetrack.relay.feed_listeners import EvacuationsListener
from sardinetrack.store.api import Listing, StoredObject
from sardinetrack.topology.freshness import boot_clock

_KEY = 'evacuations/{0}'


@given(
    'a relay in front of {models:d} model servers, the second one in kamchia'
)
def open_domains(context, models):
    context.world = RelayWorld()
    context.add_cleanup(close_world, context.world)

    async def act():
        await context.world.open(models=models)
        context.world.servers[1].failure_domain = 'kamchia'
        context.world.list_servers()

    context.world.run(act())
    context.follower = EvacuationsListener(context.world.entry_state)


def _change(context, domain, *, deleted=False):
    async def act():
        stored = StoredObject(_KEY.format(domain), 5, b'{}', deleted)
        context.follower.changed(stored)

    context.world.run(act())


@when('a stream runs at each server')
def run_streams(context):
    async def act():
        for server in context.world.servers:
            server.acts.append('pause')
        context.early = [
            asyncio.ensure_future(context.world.call('stream'))
            for _ in context.world.servers
        ]
        await asyncio.gather(
            *(one.asked.wait() for one in context.world.servers),
        )

    context.world.run(act())


@then('the streams that started before are complete')
def complete_streams(context):
    replies = context.world.run(asyncio.wait_for(_all(context.early), 5))
    assert all(reply.complete for reply in replies)


async def _all(tasks):
    return [await task for task in tasks]


@when('{domain:w} is evacuated')
def evacuate(context, domain):
    _change(context, domain)


@when('{one:w} and {other:w} are evacuated')
def evacuate_both(context, one, other):
    _change(context, one)
    _change(context, other)


@when('the evacuation of {domain:w} is lifted')
def lift(context, domain):
    _change(context, domain, deleted=True)


@when('the domain of a server is evacuated between its permit and the send')
def evacuate_late(context):
    state = context.world.entry_state
    take = state.connections.acquire
    chosen = []

    async def slow_take(address, **more):
        if not chosen:
            chosen.extend(
                one for one in context.world.servers if one.port == address[1]
            )
            key = _KEY.format(chosen[0].failure_domain)
            context.follower.changed(StoredObject(key, 5, b'{}'))
        return await take(address, **more)

    state.connections.acquire = slow_take
    context.reply = context.world.run(context.world.call('stream'))
    context.chosen = chosen[0]


@then('that server got no request')
def chosen_got_none(context):
    assert not context.chosen.requests


@when('{count:d} callers request streams one after the other')
def request_streams(context, count):
    world = context.world
    context.replies = [world.run(world.call('stream')) for _ in range(count)]


@when('the store becomes unreachable')
def lose_store(context):
    context.follower.lost(boot_clock())


@when('all evacuations are listed again')
def list_again(context):
    async def act():
        stored = StoredObject(_KEY.format('kamchia'), 5, b'not read')
        context.follower.listed(Listing(9, (stored,)))

    context.world.run(act())


@then('{domain:w} is still evacuated')
def still_evacuated(context, domain):
    assert context.world.entry_state.servers.evacuated == {domain}


@then('nothing is evacuated')
def nothing_evacuated(context):
    assert not context.world.entry_state.servers.evacuated


@then('the second server got {count:d} request')
@then('the second server got {count:d} requests')
def second_got(context, count):
    got = len(context.world.servers[1].requests)
    assert got == count, got


@then('the reason is that {why}')
def reason(context, why):
    ended = [
        line
        for line in context.world.lines()
        if line['event'] == 'request_ended'
    ]
    word = next(one for one in ('evacuated', 'cold', 'rest') if one in why)
    assert word in ended[-1]['reason'], ended


@given(
    'cold servers can handle {rate:g} requests a second'
    ' for {seconds:g} seconds',
)
def limit_cold(context, rate, seconds):
    state = context.world.entry_state
    held = state.configuration
    pools = {
        name: replace(
            pool,
            cold_per_second=rate,
            cold_seconds=seconds,
            slots=8 * pool.slots,
        )
        for name, pool in held.pools.items()
    }
    state.configuration = replace(held, pools=pools)


@given('there are {count:d} entries')
@when('there are {count:d} entries')
def count_entries(context, count):
    cold_starts = context.world.entry_state.server_states.cold_starts
    cold_starts._sides = _Sides(count)  # noqa: SLF001


class _Sides:
    """Reports the number of entries, as sides do."""

    def __init__(self, count):
        self.reported_entries = count


@when('every server is listed as cold for {seconds:g} seconds')
def list_cold(context, seconds):
    for server in context.world.servers:
        server.cold_seconds = seconds
    _list(context)


@when('the first server is listed as cold for {seconds:g} seconds')
def list_first_cold(context, seconds):
    context.world.servers[0].cold_seconds = seconds
    _list(context)


def _list(context):
    async def act():
        context.world.list_servers(revision=7)

    context.world.run(act())


def _cold_seconds(context, number):
    state = context.world.entry_state
    name = context.world.servers[number].instance
    server = state.servers.instances[name]
    estimate = state.server_states.cold_starts.estimate(
        server, state.configuration.pools['models']
    )
    return estimate.period.left_seconds(boot_clock())


@then('the second server is assumed to be cold for {seconds:g} seconds')
def second_cold(context, seconds):
    left = _cold_seconds(context, 1)
    assert seconds - 0.5 < left <= seconds, left


@then('the first server is assumed to be warm')
def first_warm(context):
    assert not _cold_seconds(context, 0)


def _only_server(context):
    state = context.world.entry_state
    server = next(iter(state.servers.instances.values()))
    return state, server, state.configuration.pools['models']


def _requests(count, max_wait_seconds):
    return [
        AdmissionRequest(f'a{one}', 'pilots', 10, 20, 10, max_wait_seconds)
        for one in range(count)
    ]


@when("{count:d} requests wait for this entry's fraction of the cold server")
def wait_for_fraction(context, count):
    state, server, pool = _only_server(context)

    async def act():
        local_admission = state.local_admission(server, pool)
        context.waiting = [
            asyncio.ensure_future(local_admission.request_permit(one))
            for one in _requests(count, 2.5)
        ]
        await asyncio.sleep(0.05)

    context.world.run(act())


@then('none of those that still wait is granted within {seconds:g} seconds')
def none_granted(context, seconds):
    state, server, pool = _only_server(context)

    async def act():
        waiting = [one for one in context.waiting if not one.done()]
        state.local_admission(server, pool)
        await asyncio.sleep(seconds)
        granted = [one for one in waiting if one.done()]
        for one in context.waiting:
            one.cancel()
        await asyncio.gather(*context.waiting, return_exceptions=True)
        return len(waiting), len(granted)

    waiting, granted = context.world.run(act())
    assert waiting > 0
    assert not granted, granted


@then(
    'this entry grants itself {granted:d} of {requested:d} permits'
    ' for the cold server',
)
def grants_itself(context, granted, requested):
    state, server, pool = _only_server(context)

    async def act():
        if state.server_states.cold_starts.no_send_seconds(server, pool) > 0:
            return 0
        local_admission = state.local_admission(server, pool)
        decisions = await asyncio.gather(
            *map(local_admission.request_permit, _requests(requested, 0.1))
        )
        return sum(isinstance(one, Granted) for one in decisions)

    count = context.world.run(act())
    assert count == granted, count
