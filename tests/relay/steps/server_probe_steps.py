"""Steps for probes of servers."""

from __future__ import annotations

import asyncio

from behave import then, when

from sardinetrack.platform.protocol_adapter import PlatformProtocolAdapter

_LATER_SECONDS = 0.1
_REPORT_SECONDS = 0.3


def _ask(context):
    state = context.world.entry_state
    server = next(iter(state.servers.instances.values()))
    pool = state.configuration.pools['models']
    probes = state.server_states.probes
    return probes.ask(PlatformProtocolAdapter(), server, pool)


@when('{count:d} responses of the server are closed at the same time')
def close_at_once(context, count):
    loop = context.world.loop

    async def play():
        return await asyncio.gather(*(_ask(context) for _ in range(count)))

    began = loop.time()
    context.reports = context.world.run(play())
    context.took_seconds = loop.time() - began


@when('a response is closed, and another one while its probe runs')
def close_later(context):
    context.world.servers[0].notices.report_delay_seconds = _REPORT_SECONDS

    async def play():
        first = asyncio.ensure_future(_ask(context))
        await asyncio.sleep(_LATER_SECONDS)
        return [await _ask(context), await first]

    context.reports = context.world.run(play())


@when('the server cuts {count:d} reports')
def cut_reports(context, count):
    context.world.servers[0].notices.cut_reports = count


@then('each of them gets a report')
def all_get_report(context):
    assert all(context.reports), context.reports


@then('none of them gets a report, within {seconds:g} s')
def none_gets_report(context, seconds):
    assert not any(context.reports), context.reports
    assert context.took_seconds < seconds, context.took_seconds


@then('the server got {count:d} call for its report')
@then('the server got {count:d} calls for its report')
def got_calls(context, count):
    got = context.world.servers[0].notices.report_calls
    assert got == count, got
