"""Steps for a graceful shutdown."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from fake_side import Script
from raw_http import Connection
from samples import COMPLETIONS, DONE, EVENTS, completion, event

PAUSE_SECONDS = 0.4


def _wait(context: Any, method: str, path: str, body: bytes = b'') -> None:
    link = context.world.connect()
    link.request(method, path, body)
    links = getattr(context, 'waiting_links', [])
    context.waiting_links = [*links, link]
    count = len(context.waiting_links)
    context.world.until(lambda: context.world.open_requests() == count)


@given('"{name}" streams {count:d} events slowly and the end event')
def stream_slowly(context: Any, name: str, count: int) -> None:
    script = Script(
        headers=EVENTS,
        chunks=(*map(event, range(count)), DONE),
        pause_seconds=PAUSE_SECONDS,
    )
    context.world.script(name, script)


@given('"{name}" delays its response "{text}"')
def delay_text(context: Any, name: str, text: str) -> None:
    script = Script(
        headers=(('content-length', str(len(text))),),
        chunks=(text.encode(),),
        delayed=True,
    )
    context.world.script(name, script)


@given('a caller waits for a streamed completion')
def wait_streamed(context: Any) -> None:
    _wait(context, 'POST', COMPLETIONS, completion(stream=True))


@given('a caller waits for "{path}"')
def wait_service(context: Any, path: str) -> None:
    _wait(context, 'GET', path)


@when('the entry starts to drain')
def drain(context: Any) -> None:
    context.entry = context.world.entries['entry-a']
    context.drained = context.world.portal.start_task_soon(
        context.entry.drain,
    )
    context.world.until(lambda: not _is_ready(context))


def _is_ready(context: Any) -> bool:
    response = context.world.operator(context.entry, '/readyz')
    return bool(response.status == 200)


@then('the entry is immediately not ready')
def check_not_ready(context: Any) -> None:
    response = context.world.operator(context.entry, '/readyz')
    assert response.status == 503 and b'shutting down' in response.body, (
        response
    )


@then('a new caller is still served')
def check_served(context: Any) -> None:
    assert context.world.call('GET', '/v1/models').status == 200


@when("the load balancer's delay has passed")
def wait_balancer(context: Any) -> None:
    world = context.world
    world.until(lambda: world.call('GET', '/v1/models').status == 503)


@then('a new caller gets error "{code}"')
def check_new_error(context: Any, code: str) -> None:
    response = context.world.call('GET', '/v1/models')
    assert response.error['code'] == code, response
    assert response.headers['sardinetrack-not-run'] == 'true'
    assert response.headers['retry-after'] == '0'
    assert response.headers['connection'] == 'close'


@then('all waiting callers get complete responses')
def check_all(context: Any) -> None:
    responses = [link.read_response() for link in context.waiting_links]
    assert all(one.complete and one.status == 200 for one in responses), (
        responses
    )


@then('the entry stops by itself')
def check_ended(context: Any) -> None:
    context.drained.result(timeout=10)
    context.world.portal.call(context.entry.run)


@then("the waiting caller's response is truncated or an error")
def check_interrupted(context: Any) -> None:
    link: Connection = context.waiting_links[0]
    responses = link.answers()
    assert all(response.status >= 500 for response in responses), responses
