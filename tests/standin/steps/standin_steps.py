"""Steps shared by the stand-ins for backend servers."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import partial
from typing import Any

from behave import given, step, then

from sardinetrack.standin.hosting import serve_standin

MAX_WAIT_SECONDS = 10.0


def host(context: Any, build: Callable[[], Any]) -> None:
    context.standin = context.portal.call(build)
    context.url = context.stack.enter_context(
        context.portal.wrap_async_context_manager(
            serve_standin(context.standin, '127.0.0.1', 0),
        ),
    )


def call(
    context: Any,
    method: str,
    path: str,
    body: bytes = b'',
    headers: tuple[tuple[str, str], ...] = (),
) -> Any:
    request = partial(
        context.http.call,
        method,
        f'{context.url}{path}',
        body=body,
        headers=headers,
        read_timeout_seconds=MAX_WAIT_SECONDS,
    )
    return context.portal.call(request)


def wait_until(check: Callable[[], bool]) -> None:
    """Wait until a check returns true; fail after ``MAX_WAIT_SECONDS``."""
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    while not check():
        assert time.monotonic() < deadline, 'the condition never became true'
        time.sleep(0.02)


def counts(context: Any, key: str) -> dict[str, int]:
    reply = call(context, 'GET', '/standin/executions')
    none = {'started': 0, 'finished': 0, 'cancelled': 0, 'cut': 0}
    return json.loads(reply.body).get(key, none)


@given('its faults are {faults}')
@step('its faults become {faults}')
def put_faults(context: Any, faults: str) -> None:
    reply = call(context, 'PUT', '/standin/faults', faults.encode())
    assert reply.status == 204, reply


@then('there is no response within {seconds:g} seconds')
def no_response(context: Any, seconds: float) -> None:
    try:
        context.running.result(seconds)
    except FutureTimeoutError:
        return
    raise AssertionError('a response arrived')


@then('the faults {faults} are refused for "{reason}"')
def faults_refused_for(context: Any, faults: str, reason: str) -> None:
    reply = call(context, 'PUT', '/standin/faults', faults.encode())
    assert reply.status == 400, reply
    assert reason.encode() in reply.body, reply


@then('the faults {faults} are refused')
def faults_refused(context: Any, faults: str) -> None:
    reply = call(context, 'PUT', '/standin/faults', faults.encode())
    assert reply.status == 400, reply
    assert b'no_such_fault' in reply.body, reply
