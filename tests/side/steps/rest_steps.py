"""Steps for a side whose backend server asks for rest."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import anyio
import msgspec
from behave import given, then, when
from side_backend import INCARNATION, POOL, RUN_REQUEST
from side_steps import _expect_message, _open_side
from side_world import WAIT_SECONDS, World, running_side

from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.catalogue.api import PoolClass
from sardinetrack.lease.model_loader import LoadResult
from sardinetrack.messages.api import Grant, SideLoad
from sardinetrack.side.model_server import HttpModelServer

_MAX_LATE_SECONDS = 0.3


@given('a side with 2 slots that admits requests itself')
def step_real_side(context: Any) -> None:
    admission = SlotAdmission(INCARNATION, 0)
    _open_side(context, running_side(POOL, admission), revision=1)


@given('a side of a model pool that admits requests itself')
def step_real_model_side(context: Any) -> None:
    pool = replace(POOL, pool_class=PoolClass.MODEL)
    admission = SlotAdmission(INCARNATION, 0)
    _open_side(context, running_side(pool, admission), revision=1)


@when('the next load query is answered with Retry-After "{text}"')
def step_load_rest(context: Any, text: str) -> None:
    context.world.backend.load_retry_after = text


@then('a load command is {accepted}')
def step_load_command(context: Any, accepted: str) -> None:
    loaded = context.portal.call(_load_models, context.world)
    wanted = accepted == 'accepted'
    assert (loaded is LoadResult.ACCEPTED) == wanted, loaded


@when('run request "{attempt_id}" for "{path}" is sent')
def step_run_request_id(context: Any, attempt_id: str, path: str) -> None:
    context.response = context.portal.call(
        context.world.send_run_request,
        msgspec.structs.replace(RUN_REQUEST, attempt_id=attempt_id, path=path),
    )


@when('a run request with grant {number:d} is sent')
def step_granted_run_request(context: Any, number: int) -> None:
    run_request = msgspec.structs.replace(
        RUN_REQUEST, attempt_id='granted', grant=number
    )
    context.response = context.portal.call(
        context.world.send_run_request, run_request
    )


@when('run request "{attempt_id}" for "{path}" is running')
def step_running(context: Any, attempt_id: str, path: str) -> None:
    run_request = msgspec.structs.replace(
        RUN_REQUEST, attempt_id=attempt_id, path=path
    )
    context.running = context.portal.start_task_soon(
        context.world.send_run_request, run_request
    )
    executions = context.world.backend.executions
    context.portal.call(context.world.wait_until, lambda: path in executions)


@when('run request "{attempt_id}" has ended')
def step_has_ended(context: Any, attempt_id: str) -> None:
    assert context.running.result(WAIT_SECONDS).status, attempt_id


@when('the gate of the backend server opens')
def step_open_gate(context: Any) -> None:
    context.portal.call(_set, context.world.backend.gate)


@then('the response\'s header "{name}" is "{text}"')
def step_response_header(context: Any, name: str, text: str) -> None:
    found = dict(context.response.headers)
    assert found.get(name) == text, found


@then('the entry receives a load with limit {limit:d}')
def step_receive_limit(context: Any, limit: int) -> None:
    _expect_message(context, SideLoad, lambda load: load.limit == limit)


@then('the entry receives a load with limit {limit:d} when the rest ends')
def step_limit_after_rest(context: Any, limit: int) -> None:
    step_receive_limit(context, limit)
    _check_rest_ended(context)


@then('the entry receives grant {number:d} when the rest ends')
def step_grant_after_rest(context: Any, number: int) -> None:
    _expect_message(context, Grant, lambda one: one.number == number)
    _check_rest_ended(context)


@then('the backend server has run {count:d} request')
@then('the backend server has run {count:d} requests')
def step_run_count(context: Any, count: int) -> None:
    executions = context.world.backend.executions
    assert len(executions) == count, executions


@then('the side has logged "{sentence}" once with')
def step_logged_once(context: Any, sentence: str) -> None:
    wanted = context.table[0].as_dict()
    found = [
        {name: str(line.get(name)) for name in wanted}
        for line in context.lines.lines
        if line['sentence'] == sentence
    ]
    assert found == [wanted], found


def _check_rest_ended(context: Any) -> None:
    seconds = context.portal.call(_current_time)
    seconds -= context.world.backend.rest_until
    assert 0 <= seconds < _MAX_LATE_SECONDS, seconds


async def _load_models(world: World) -> LoadResult:
    components = world.side._components
    server = HttpModelServer(
        'galata-3',
        world.server.url,
        world.client,
        components.observer,
        components.condition,
    )
    return await server.load_models(1, ('ice',))


async def _current_time() -> float:
    return anyio.current_time()


async def _set(event: anyio.Event) -> None:
    event.set()
