"""Steps for idempotency keys."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

from behave import given, then, when
from fake_side import Script

from sardinetrack.entry.claims import ClaimRequest
from sardinetrack.entry.completions import fingerprint
from sardinetrack.store.in_process import InjectedFaults

WARN = '/services/chart-api/warn'
HOUR_SECONDS = 3600


def _send(context: Any, text: str, key: str, entry: str = 'entry-a') -> Any:
    link = context.world.connect(entry)
    link.request('POST', WARN, text.encode(), (('idempotency-key', key),))
    return link


@given('another entry "{name}"')
def start_other_entry(context: Any, name: str) -> None:
    context.world.entry(name)


@given('"{name}" delays its scripted response')
def delay_response(context: Any, name: str) -> None:
    scripts = context.world.sides[name].scripts
    scripts[0] = replace(scripts[0], delayed=True)


@given('"{name}" closes every connection')
def close_all(context: Any, name: str) -> None:
    side = context.world.sides[name]
    side.scripts[0] = Script(breaks_before_result=True)


@given('the platform loses the response to the next write')
def lose_response(context: Any) -> None:
    context.world.inject_faults(InjectedFaults(lose_replies=1))


@given('the platform loses the response to the second write from now')
def lose_second_response(context: Any) -> None:
    context.world.platform.lose_after(1)


@given('the platform is down')
@when('the platform goes down')
def platform_down(context: Any) -> None:
    context.world.inject_faults(InjectedFaults(outage=True))


@when('the platform is back')
def platform_back(context: Any) -> None:
    context.world.inject_faults(InjectedFaults())


@given('an abandoned claim of warning "{text}" with key "{key}"')
def abandon_claim(context: Any, text: str, key: str) -> None:
    parts = (b'chart-api', b'POST', b'/warn', text.encode())
    request = ClaimRequest(
        workspace='pilot',
        key=key,
        request_hash=fingerprint(*parts),
        attempt_id='abandoned',
        settled_within_seconds=600,
    )
    world = context.world
    world.portal.call(world.claims[0].claim, request)


@when('a caller sends warning "{text}" with key "{key}"')
def send_warning(context: Any, text: str, key: str) -> None:
    context.world.response = _send(context, text, key).read_response()


@when('a caller sends through "{entry}" warning "{text}" with key "{key}"')
def send_through(context: Any, entry: str, text: str, key: str) -> None:
    context.world.response = _send(context, text, key, entry).read_response()


@when('a caller waits for warning "{text}" with key "{key}"')
def send_and_wait(context: Any, text: str, key: str) -> None:
    context.link = _send(context, text, key)
    context.world.until(lambda: context.world.record(key) == 'running')
    context.world.until(lambda: context.world.open_requests() == 1)


@when('a caller disconnects after sending warning "{text}" with key "{key}"')
def send_and_disconnect(context: Any, text: str, key: str) -> None:
    link = _send(context, text, key)
    side = context.world.sides['side-c']
    context.world.until(lambda: bool(side.run_requests))
    link.close()


@when(
    '{count:d} callers send the same warning concurrently through both entries'
)
def send_many(context: Any, count: int) -> None:
    names = [('entry-a', 'entry-b')[number % 2] for number in range(count)]
    links = [_send(context, 'ice', 'k1', name) for name in names]
    with ThreadPoolExecutor(count) as pool:
        context.many = list(pool.map(lambda link: link.read_response(), links))


@when('"{name}" sends what it delayed')
def release_side(context: Any, name: str) -> None:
    context.world.release(name)


@when('the sides have free slots again')
def free_sides(context: Any) -> None:
    context.world.free()


@when('an hour has passed')
def pass_hour(context: Any) -> None:
    context.world.wall_seconds += HOUR_SECONDS


@when('two days have passed')
def pass_days(context: Any) -> None:
    context.world.wall_seconds += 48 * HOUR_SECONDS


@then('the run request at "{name}" is not repeatable')
def check_not_repeatable(context: Any, name: str) -> None:
    run_request = context.world.last_run_request(name)
    assert not run_request.idempotent


@then('the waiting caller gets a complete response')
def check_waiting(context: Any) -> None:
    response = context.link.read_response()
    assert response.status == 200 and response.complete, response


@then('the waiting caller gets error "{code}"')
def check_error_code(context: Any, code: str) -> None:
    response = context.link.read_response()
    assert response.error['code'] == code, response


@then('exactly one got status 200 and the others 409')
def check_many(context: Any) -> None:
    statuses = sorted(response.status for response in context.many)
    assert statuses[0] == 200, statuses
    assert set(statuses[1:]) == {409}, statuses


@then('there is no record of key "{key}"')
def check_no_record(context: Any, key: str) -> None:
    assert not context.world.record(key)


@then('the record of key "{key}" is eventually deleted')
def check_deleted(context: Any, key: str) -> None:
    context.world.until(lambda: not context.world.record(key))


@then('the record of key "{key}" eventually has state "{state}"')
def check_state(context: Any, key: str, state: str) -> None:
    context.world.until(lambda: context.world.record(key) == state)
