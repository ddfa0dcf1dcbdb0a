"""Steps for a side whose backend server leaves."""

from __future__ import annotations

from typing import Any

import anyio
from behave import then, when
from rest_steps import step_run_request_id
from side_steps import (
    _expect_message,
    step_refused,
    step_restart_server,
    step_stop_server,
)

from sardinetrack.messages.api import SideLoad, SidePhase
from sardinetrack.side.events import DrainStarted

_REFUSES_SECONDS = 0.6


@when('the backend server begins to leave')
def step_leave(context: Any) -> None:
    context.world.backend.leaving = '1'


@when('the backend server sends Server-Leaving "{text}"')
def step_leaving_header(context: Any, text: str) -> None:
    context.world.backend.leaving = text


@when('the backend server no longer leaves')
def step_stay(context: Any) -> None:
    context.world.backend.leaving = None


@when('the backend server restarts')
def step_restart(context: Any) -> None:
    step_stop_server(context)
    context.portal.call(anyio.sleep, _REFUSES_SECONDS)
    step_stay(context)
    step_restart_server(context)


@when('run request "{attempt_id}" for "{path}" is refused')
def step_is_refused(context: Any, attempt_id: str, path: str) -> None:
    step_run_request_id(context, attempt_id, path)
    step_refused(context, 409, 'draining')


@when("the side's own drain begins")
def step_own_drain(context: Any) -> None:
    events = context.world.side._components.events
    context.portal.call(events.send, DrainStarted(anyio.Event()))


@then('the side still drains after {seconds:g} seconds')
def step_still_drains(context: Any, seconds: float) -> None:
    context.portal.call(anyio.sleep, seconds)
    load = context.world.admission.load()
    assert load.phase is SidePhase.DRAINING, load


@then('the entry receives a load of a serving side with {limit:d} slots')
def step_receive_serving(context: Any, limit: int) -> None:
    _expect_message(
        context,
        SideLoad,
        lambda load: load.phase is SidePhase.SERVING and load.limit == limit,
    )
