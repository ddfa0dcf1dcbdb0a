"""Steps for the shares of workspaces with different requests."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from sardinetrack.emulator.load import LoadProfile
from sardinetrack.emulator.policies import HomeServerPolicy
from sardinetrack.emulator.simulation import Simulation
from sardinetrack.emulator.workspaces import (
    WorkspaceLoad,
    draw_workspace_requests,
)

_SECONDS = 10
_WINDOW_SECONDS = 6
_SMALL = 8
_OVERLOAD = 1.2
"""What each large workspace requests, of all that the engines can prefill."""


@given('{engines:d} emulated engines')
def given_engines(context, engines):
    context.loads = []
    context.shape = LoadProfile(
        engines=engines,
        slots=128,
        rate_tokens=60_000,
        memory_tokens=352_145,
        run_seconds=0.8,
        objective_seconds=0.5,
        max_wait_seconds=0.4,
        deadline_seconds=5,
        entries=engines,
    )


@given(
    'a workspace with {parts:d} shared parts of {shared:d} tokens,'
    ' own parts of {own:d} and responses of {output:d}'
)
def given_workspace(context, parts, shared, own, output):
    shape = context.shape
    per_second = _OVERLOAD * shape.engines * shape.rate_tokens / own
    name = f'large-{len(context.loads)}'
    context.loads.append(
        WorkspaceLoad(name, per_second, parts, shared, own, output)
    )


@given('it begins at second {second:d}')
def given_begin(context, second):
    load = context.loads.pop()
    context.loads.append(replace(load, begins_seconds=second))


@when('their loads are simulated with seed {seed:d}')
def simulate(context, seed):
    context.small = [
        WorkspaceLoad(f'small-{one}', 4, 20, 2000, 800, 50)
        for one in range(_SMALL)
    ]
    requests = draw_workspace_requests(
        [*context.loads, *context.small], _SECONDS, seed, context.shape.entries
    )
    simulation = Simulation(context.shape, HomeServerPolicy())
    context.outcome = simulation.run_load(requests, _SECONDS)


@then(
    'in any six seconds from second {first:d} on, neither receives less than'
    ' {fraction:g} of the other'
)
def receive_alike(context, first, fraction):
    names = [load.name for load in context.loads]
    for second in range(first, _SECONDS - _WINDOW_SECONDS + 1):
        received = context.outcome.received(second, _WINDOW_SECONDS)
        tokens = [received[name] for name in names]
        assert min(tokens) >= fraction * max(tokens), (second, tokens)


@then(
    'the small workspaces have at least {fraction:g} of their requests served'
    ' in time'
)
def small_in_time(context, fraction):
    names = [load.name for load in context.small]
    in_time = sum(context.outcome.in_time_by[name] for name in names)
    asked = sum(context.outcome.asked_by[name] for name in names)
    assert in_time >= fraction * asked, in_time / asked
