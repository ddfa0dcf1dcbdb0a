"""Requests that a scripted server holds while others are on their way to it."""

from __future__ import annotations

import asyncio
from types import MappingProxyType

from tests.support.relay_servers import SharedActs

REQUESTS = 12
"""More than the permits that an entry grants itself for one server."""
_SETTLE_SECONDS = 5
ROUTES = MappingProxyType({'fetch': 'fetch', 'request streams': 'stream'})
"""Routes by what the sentence of a step says."""


async def until(condition):
    for _ in range(300):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('it did not happen in 3 seconds')


async def call_all(world, route, count):
    return await asyncio.gather(*(world.call(route) for _ in range(count)))


async def release_while_connecting(world, act, route, count):
    """Let a server perform an act while other requests connect to it.

    :return: the reply to the request that it held, and those to the others.
    """
    connections = world.entry_state.connections
    acquire = connections.acquire
    shared = SharedActs('held')
    for server in world.servers:
        server.acts = shared
        server.notices.held_act = act
    early = asyncio.ensure_future(world.call(route))
    await until(lambda: any(one.requests for one in world.servers))
    holder = next(one for one in world.servers if one.requests)
    connecting = []

    async def slow_acquire(address, **more):
        if address[1] == holder.port:
            connecting.append(address)
            await holder.notices.released.wait()
            # Until the entry has the response.
            await asyncio.sleep(0.1)
        return await acquire(address, **more)

    connections.acquire = slow_acquire
    calls = asyncio.ensure_future(call_all(world, route, count))
    await until(lambda: connecting)
    holder.notices.released.set()
    return [await early, *await calls]


async def hold_streams(world):
    """Request streams until the permits for the only server are used up.

    :return: the calls, of which the server holds some.
    """
    server = world.servers[0]
    server.acts.extend('held' for _ in range(REQUESTS))
    calls = [
        asyncio.ensure_future(world.call('stream')) for _ in range(REQUESTS)
    ]
    held = await _settled_requests(server)
    assert 0 < held < REQUESTS, held
    assert not any(one.done() for one in calls)
    return calls


async def _settled_requests(server):
    """Return the number of a server's requests once it no longer grows."""
    held = 0
    async with asyncio.timeout(_SETTLE_SECONDS):
        while not held or held < len(server.requests):
            held = len(server.requests)
            await asyncio.sleep(0.2)
    return held


async def release_streams(world, act, calls):
    """Let the server perform an act for each stream that it holds."""
    server = world.servers[0]
    server.acts.clear()
    server.notices.held_act = act
    server.notices.released.set()
    return await asyncio.gather(*calls)


def assert_nothing_held(state):
    """Check that no permit and no connection to a server is in use."""
    for local in state.server_states._local_admissions.values():  # noqa: SLF001
        assert not local.admission.running, local.admission.running
        assert not local.admission.waiting, local.admission.waiting
    in_use = state.connections._open  # noqa: SLF001
    assert not any(in_use.values()), in_use
