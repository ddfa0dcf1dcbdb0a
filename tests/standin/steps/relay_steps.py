"""Steps about the relay."""

from __future__ import annotations

from typing import Any

from behave import given, step, then, when
from service_steps import service
from standin_steps import PATIENCE_SECONDS, counts, soon

from sardinetrack.http.client import BrokenError, NotSentError
from sardinetrack.standin.relay import Direction, relaying

LOOKUP = '/lookup/7'


def start(context: Any, path: str) -> Any:
    port = context.relay.port
    url = f'http://127.0.0.1:{port}{path}'
    return context.portal.start_task_soon(context.http.call, 'GET', url)


@given('a plain service behind a relay')
def relay(context: Any) -> None:
    service(context)
    port = int(context.url.rpartition(':')[2])
    context.relay = context.stack.enter_context(
        context.portal.wrap_async_context_manager(
            relaying('127.0.0.1', port),
        ),
    )


@step('a lookup through the relay is answered')
def answered(context: Any) -> None:
    reply = start(context, LOOKUP).result(PATIENCE_SECONDS)
    assert reply.status == 200, reply


@when('a slow request runs through the relay')
def slow(context: Any) -> None:
    context.running = start(context, '/slow?delay_seconds=30')
    soon(lambda: counts(context, 'GET /slow')['started'] == 1)


@when('the relay is cut')
def cut(context: Any) -> None:
    context.portal.call(context.relay.cut)


@then('the slow request broke')
def broke(context: Any) -> None:
    error = context.running.exception(PATIENCE_SECONDS)
    assert isinstance(error, BrokenError), error


@then('a lookup through the relay is not sent')
def not_sent(context: Any) -> None:
    error = start(context, LOOKUP).exception(PATIENCE_SECONDS)
    assert isinstance(error, NotSentError), error


@then('after it is restored a lookup through the relay is answered')
def restored(context: Any) -> None:
    context.portal.call(context.relay.restore)
    answered(context)


@when('the relay is frozen')
def freeze(context: Any) -> None:
    context.portal.call(context.relay.freeze)


@when('a lookup is sent through the relay')
def send_lookup(context: Any) -> None:
    context.running = start(context, LOOKUP)


@then('once the relay is thawed the lookup is answered')
def thaw(context: Any) -> None:
    context.portal.call(context.relay.thaw)
    assert context.running.result(PATIENCE_SECONDS).status == 200


@step('the service soon ran {number:d} lookup')
def ran_soon(context: Any, number: int) -> None:
    soon(lambda: counts(context, f'GET {LOOKUP}')['finished'] == number)


@when('the relay drops what goes to the caller')
def drop(context: Any) -> None:
    context.portal.call(context.relay.drop, Direction.TO_CALLER)


@when('the relay delays by {seconds:g} seconds')
def delay(context: Any, seconds: float) -> None:
    context.relay.delay_seconds = seconds


@then('a body of {size:d} bytes arrives through the relay')
def large(context: Any, size: int) -> None:
    reply = start(context, f'/file?bytes={size}').result(PATIENCE_SECONDS)
    assert len(reply.body) == size


@when('the relay strands what it holds')
def strand(context: Any) -> None:
    context.portal.call(context.relay.strand)
    context.portal.call(context.relay.thaw)


@then('the lookup broke')
def lookup_broke(context: Any) -> None:
    broke(context)


@then('another request through the relay is answered')
def another_answered(context: Any) -> None:
    reply = start(context, '/other').result(PATIENCE_SECONDS)
    assert reply.status == 200, reply


@then('the service ran no lookup yet')
def ran_none(context: Any) -> None:
    assert counts(context, f'GET {LOOKUP}')['started'] == 0


@when('the relay delivers what was stranded')
def deliver(context: Any) -> None:
    context.portal.call(context.relay.deliver)
