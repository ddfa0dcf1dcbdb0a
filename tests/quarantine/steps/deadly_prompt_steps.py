"""Steps for prompts with parts that crash engines."""

from __future__ import annotations

import asyncio
from types import MappingProxyType

from behave import then, when
from tests.support.deadly_world import CONTACT_SECONDS, DeadlyWorld
from tests.support.relay_world import close_world

_CALM_SECONDS = 2.0
_MIN_BEGUN_FRACTION = 0.5
"""Of sound requests, to the fraction without deadly ones. Source: the users'
pages."""
_LOST_SECONDS = 2 * CONTACT_SECONDS
_FIRST = 0
_SECOND = 1
_WAYS = MappingProxyType(
    {
        '6 a second, the second part kills': (('dead',), 1 / 6, _SECOND),
        '6 a second, the first part kills': (('dead',), 1 / 6, _FIRST),
        '6 a second, one of two parts kills': (
            ('dead', 'fatal'),
            1 / 3,
            _SECOND,
        ),
        'one in 2 s, the second part kills': (('dead',), 2.0, _SECOND),
        '6 a second, while sides and an entry are replaced': (
            ('dead',),
            1 / 6,
            _SECOND,
            True,
        ),
    }
)
_CRASHES = MappingProxyType(
    {
        'one each 0.8 s, by themselves': (0.8, 1),
        'five at the same moment, each 4 s': (4.0, 5),
    }
)
_NEW_FRACTION = 0.5


async def _play(world, seconds, every_seconds, place, replaces=False):
    await world.open_deadly()
    await world.send_sound(_CALM_SECONDS)
    await asyncio.gather(
        *([world.replace_processes()] if replaces else []),
        world.send_sound(seconds),
        world.send_deadly(seconds, every_seconds, place),
    )


@when('requests with deadly parts come in these ways:')
def send_deadly(context):
    context.worlds = {}
    for row in context.table:
        parts, *sending = _WAYS[row['way']]
        world = DeadlyWorld(parts)
        world.run(_play(world, int(row['seconds']), *sending))
        close_world(world)
        context.worlds[row['way']] = world


async def _play_innocent(world, seconds, every_seconds, engines):
    await world.open_deadly()
    await world.send_sound(_CALM_SECONDS)
    await asyncio.gather(
        world.send_sound(seconds, _NEW_FRACTION),
        world.crash_by_themselves(seconds, every_seconds, engines),
    )


@when('engines crash in these ways, beside sound requests with many new parts:')
def crash_engines(context):
    context.worlds = {}
    for row in context.table:
        world = DeadlyWorld(())
        every_seconds, engines = _CRASHES[row['way']]
        seconds = int(row['seconds'])
        world.run(_play_innocent(world, seconds, every_seconds, engines))
        close_world(world)
        context.worlds[row['way']] = world


@then('no request is refused because of crashes')
def none_refused(context):
    refused = {
        way: world.refused_for_crashes for way, world in context.worlds.items()
    }
    assert not any(refused.values()), refused


@then(
    'at most {most:d} requests with one deadly part reach engines later than'
    ' 3 s after its fifth crash'
)
def stopped(context, most):
    late = {
        (way, part): world.sent_after_contact(part)
        for way, world in context.worlds.items()
        for part in world.deadly
    }
    assert max(late.values()) <= most, late


@then('at most {most:d} engines crash by each deadly part')
def few_crashes(context, most):
    crashes = {
        (way, part): len(at)
        for way, world in context.worlds.items()
        for part, at in world.crashes.items()
    }
    assert max(crashes.values()) <= most, crashes


@then('sound requests begin at least half as often as without them')
def sound_begin(context):
    begun = {
        way: world.begun_fractions(_LOST_SECONDS)
        for way, world in context.worlds.items()
    }
    assert all(
        after >= _MIN_BEGUN_FRACTION * calm for calm, after in begun.values()
    ), begun
