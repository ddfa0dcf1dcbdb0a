"""Steps for leases and fencing tokens."""

from __future__ import annotations

from typing import Any

from behave import given, step, then, when
from lease_simulation import run_seed

from sardinetrack.lease.decision import (
    Acquire,
    Lease,
    ObservedLease,
    WaitForExpiry,
)
from sardinetrack.standin.fencing import FencingCheck


@given('a server that {kind} fencing tokens')
def given_server(context: Any, kind: str) -> None:
    context.checks = kind == 'checks'


@step('side "{name}" acquires at {now:g} with a write that took {took:g} s')
@step(
    'side "{name}" acquires again at {now:g} with a write that took {took:g} s',
)
def given_acquired(context: Any, name: str, now: float, took: float) -> None:
    lease = _lease(context, name)
    read_lease(context, name, now)
    assert isinstance(context.step, Acquire), context.step
    complete_write(context, lease, now)
    assert lease.seconds_left(now + took) == 8 - took


@when('side "{name}" reads the lease at {now:g}')
def read_lease(context: Any, name: str, now: float) -> None:
    observed = getattr(context, 'seen', ObservedLease(0, None))
    context.now = now
    context.step = _lease(context, name).plan_acquisition(
        now,
        observed,
        checks_fencing=getattr(context, 'checks', False),
    )


@when('side "{name}" is paused until {now:g}')
def when_paused(context: Any, name: str, now: float) -> None:
    assert _lease(context, name).state == 'held', now


@when(
    'two sides send commands to a server that {kind} fencing tokens in '
    '{count:d} seeded runs',
)
def when_random(context: Any, kind: str, count: int) -> None:
    checks = kind == 'checks'
    context.runs = [run_seed(seed, checks=checks) for seed in range(count)]


@then('"{name}" may send commands at {now:g} for {seconds:g} s')
def then_may(context: Any, name: str, now: float, seconds: float) -> None:
    left = _lease(context, name).seconds_left(now)
    assert round(left, 3) == seconds, left


@then('"{name}" may not send commands at {now:g}')
def then_may_not(context: Any, name: str, now: float) -> None:
    assert _lease(context, name).seconds_left(now) == 0


@then('"{name}" is "{state}"')
def then_state(context: Any, name: str, state: str) -> None:
    assert _lease(context, name).state == state


@then('"{name}" waits {seconds:g} s')
def then_waits(context: Any, name: str, seconds: float) -> None:
    assert isinstance(context.step, WaitForExpiry), context.step
    assert round(context.step.seconds, 3) == seconds, context.step
    assert _lease(context, name).state == 'waiting_out'


@then('"{name}" acquires with a greater fencing token')
def then_acquires(context: Any, name: str) -> None:
    assert isinstance(context.step, Acquire), context.step
    previous = context.seen.version
    complete_write(context, _lease(context, name), context.now)
    assert _lease(context, name).fencing_token > previous


@then('the server refuses the token of "{name}"')
def then_refuses(context: Any, name: str) -> None:
    fencing_check = FencingCheck(checks=True)
    assert fencing_check.admits(context.seen.version)
    assert not fencing_check.admits(_lease(context, name).fencing_token)


@then('no command was accepted after one with a greater fencing token')
def then_in_order(context: Any) -> None:
    for run in context.runs:
        numbers = [number for number, _ in run.accepted]
        assert numbers == sorted(numbers), (run.seed, run.accepted)


@then('both sides sent commands and some were withheld')
def then_both(context: Any) -> None:
    sides = {name for run in context.runs for _, name in run.accepted}
    withheld = sum(run.counts['commands withheld'] for run in context.runs)
    assert sides == {'a', 'b'} and withheld, (sides, withheld)


def complete_write(context: Any, lease: Lease, began_at: float) -> None:
    """Complete the write of the last step."""
    version = context.step.expected_version + 1
    lease.record_acquired(began_at, version)
    context.seen = ObservedLease(version, context.step.record)


def _lease(context: Any, name: str) -> Lease:
    if not hasattr(context, 'leases'):
        context.leases = {}
    if name not in context.leases:
        context.leases[name] = Lease(
            name,
            duration_seconds=10,
            margin_seconds=2,
        )
    return context.leases[name]
