"""Steps for the TCP proxy."""

from __future__ import annotations

from typing import Any

from behave import given, step, then, when
from service_steps import service
from standin_steps import MAX_WAIT_SECONDS, counts, wait_until

from sardinetrack.http.client import ConnectionBrokenError, RequestNotSentError
from sardinetrack.standin.tcp_proxy import Direction, open_proxy

LOOKUP = '/lookup/7'


def start(context: Any, path: str) -> Any:
    port = context.relay.port
    url = f'http://127.0.0.1:{port}{path}'
    return context.portal.start_task_soon(context.http.call, 'GET', url)


@given('a plain service behind a proxy')
def relay(context: Any) -> None:
    service(context)
    port = int(context.url.rpartition(':')[2])
    context.relay = context.stack.enter_context(
        context.portal.wrap_async_context_manager(
            open_proxy('127.0.0.1', port),
        ),
    )


@step('a lookup through the proxy succeeds')
def lookup_succeeds(context: Any) -> None:
    reply = start(context, LOOKUP).result(MAX_WAIT_SECONDS)
    assert reply.status == 200, reply


@when('a slow request runs through the proxy')
def slow(context: Any) -> None:
    context.running = start(context, '/slow?delay_seconds=30')
    wait_until(lambda: counts(context, 'GET /slow')['started'] == 1)


@when('the proxy is cut')
def cut(context: Any) -> None:
    context.portal.call(context.relay.cut)


@then('the slow request was interrupted')
def slow_interrupted(context: Any) -> None:
    error = context.running.exception(MAX_WAIT_SECONDS)
    assert isinstance(error, ConnectionBrokenError), error


@then('a lookup through the proxy is not sent')
def not_sent(context: Any) -> None:
    error = start(context, LOOKUP).exception(MAX_WAIT_SECONDS)
    assert isinstance(error, RequestNotSentError), error


@then('after it is restored a lookup through the proxy succeeds')
def restored(context: Any) -> None:
    context.portal.call(context.relay.restore)
    lookup_succeeds(context)


@when('the proxy is frozen')
def freeze(context: Any) -> None:
    context.portal.call(context.relay.freeze)


@when('a lookup is sent through the proxy')
def send_lookup(context: Any) -> None:
    context.running = start(context, LOOKUP)


@then('once the proxy is thawed the lookup succeeds')
def thaw(context: Any) -> None:
    context.portal.call(context.relay.thaw)
    assert context.running.result(MAX_WAIT_SECONDS).status == 200


@step('the service soon ran {number:d} lookup')
def ran_soon(context: Any, number: int) -> None:
    wait_until(lambda: counts(context, f'GET {LOOKUP}')['finished'] == number)


@when('the proxy drops the bytes to the caller')
def drop(context: Any) -> None:
    context.portal.call(context.relay.drop, Direction.TO_CALLER)


@when('the proxy delays by {seconds:g} seconds')
def delay(context: Any, seconds: float) -> None:
    context.relay.delay_seconds = seconds


@then('a body of {size:d} bytes arrives through the proxy')
def large(context: Any, size: int) -> None:
    reply = start(context, f'/file?bytes={size}').result(MAX_WAIT_SECONDS)
    assert len(reply.body) == size


@when("the proxy closes its callers' connections and withholds their bytes")
def strand(context: Any) -> None:
    context.portal.call(context.relay.reset_caller_connections)
    context.portal.call(context.relay.thaw)


@then('the lookup was interrupted')
def lookup_interrupted(context: Any) -> None:
    slow_interrupted(context)


@then('another request through the proxy succeeds')
def another_succeeds(context: Any) -> None:
    reply = start(context, '/other').result(MAX_WAIT_SECONDS)
    assert reply.status == 200, reply


@then('the service ran no lookup yet')
def ran_none(context: Any) -> None:
    assert counts(context, f'GET {LOOKUP}')['started'] == 0


@when('the proxy forwards the withheld bytes')
def deliver(context: Any) -> None:
    context.portal.call(context.relay.release_withheld_bytes)
