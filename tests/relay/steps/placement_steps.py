"""Steps for what the choice of a server gets from the relay."""

from __future__ import annotations

from behave import when

from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.step_pace import StepPace


@when('the {which} server runs {streams:d} streams that any prompt makes late')
def run_streams(context, which, streams):
    world = context.world
    late = world.servers[('first', 'second').index(which)].instance
    loads = {one.instance: EstimatedLoad() for one in world.servers}
    loads[late].pace = StepPace(6, 0.01, 0.4)
    loads[late].streams = streams
    world.entry_state.server_states.loads.update(loads)


@when('the first server says that its work takes {factor:g} times as long')
def say_slow(context, factor):
    notices = context.world.servers[0].notices
    notices.load = f'0,0,8,{100 * factor:.0f}'
