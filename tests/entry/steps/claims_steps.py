"""Steps for idempotency keys."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any

from behave import given, then, when
from fake_side import Script

from sardinetrack.entry.claims import ClaimRequest
from sardinetrack.entry.completions import fingerprint
from sardinetrack.store.in_process import Disturbance

WARN = '/services/chart-api/warn'
HOUR_SECONDS = 3600


def _send(context: Any, text: str, key: str, entry: str = 'entry-a') -> Any:
    link = context.world.connect(entry)
    link.request('POST', WARN, text.encode(), (('idempotency-key', key),))
    return link


@given('another entry "{name}"')
def start_other_entry(context: Any, name: str) -> None:
    context.world.entry(name)


@given('"{name}" holds what it answers')
def hold_all(context: Any, name: str) -> None:
    scripts = context.world.sides[name].scripts
    scripts[0] = replace(scripts[0], hold=True)


@given('"{name}" breaks off whatever comes')
def break_all(context: Any, name: str) -> None:
    side = context.world.sides[name]
    side.scripts[0] = Script(breaks_before=True)


@given('the platform loses the reply to the next write')
def lose_reply(context: Any) -> None:
    context.world.disturb(Disturbance(lose_replies=1))


@given('the platform loses the reply to the second write from now')
def lose_second_reply(context: Any) -> None:
    context.world.platform.lose_after(1)


@given('the platform is down')
@when('the platform goes down')
def platform_down(context: Any) -> None:
    context.world.disturb(Disturbance(outage=True))


@when('the platform is back')
def platform_back(context: Any) -> None:
    context.world.disturb(Disturbance())


@given('a claim of warning "{text}" with key "{key}" that nobody ends')
def claim_and_die(context: Any, text: str, key: str) -> None:
    parts = (b'chart-api', b'POST', b'/warn', text.encode())
    request = ClaimRequest(
        workspace='pilot',
        key=key,
        request_hash=fingerprint(*parts),
        attempt_id='of-the-dead',
        settled_within_seconds=600,
    )
    world = context.world
    world.portal.call(world.claims[0].claim, request)


@when('a caller sends warning "{text}" with key "{key}"')
def send_warning(context: Any, text: str, key: str) -> None:
    context.world.answer = _send(context, text, key).answer()


@when('a caller sends through "{entry}" warning "{text}" with key "{key}"')
def send_through(context: Any, entry: str, text: str, key: str) -> None:
    context.world.answer = _send(context, text, key, entry).answer()


@when('a caller waits for warning "{text}" with key "{key}"')
def send_and_wait(context: Any, text: str, key: str) -> None:
    context.link = _send(context, text, key)
    context.world.until(lambda: context.world.record(key) == 'running')
    context.world.until(lambda: context.world.open_requests() == 1)


@when('a caller vanishes after warning "{text}" with key "{key}"')
def send_and_vanish(context: Any, text: str, key: str) -> None:
    link = _send(context, text, key)
    side = context.world.sides['side-c']
    context.world.until(lambda: bool(side.orders))
    link.close()


@when('{count:d} callers send the same warning at once through both entries')
def send_many(context: Any, count: int) -> None:
    names = [('entry-a', 'entry-b')[number % 2] for number in range(count)]
    links = [_send(context, 'ice', 'k1', name) for name in names]
    with ThreadPoolExecutor(count) as pool:
        context.many = list(pool.map(lambda link: link.answer(), links))


@when('"{name}" lets go')
def release_side(context: Any, name: str) -> None:
    context.world.release(name)


@when('the sides have slots again')
def free_sides(context: Any) -> None:
    context.world.free()


@when('an hour has passed')
def pass_hour(context: Any) -> None:
    context.world.wall_seconds += HOUR_SECONDS


@when('two days have passed')
def pass_days(context: Any) -> None:
    context.world.wall_seconds += 48 * HOUR_SECONDS


@then('the order at "{name}" may not be repeated')
def check_not_repeatable(context: Any, name: str) -> None:
    order = context.world.last_order(name)
    assert not order.idempotent


@then('the waiting caller gets its whole answer')
def check_waiting(context: Any) -> None:
    answer = context.link.answer()
    assert answer.status == 200 and answer.whole, answer


@then('the waiting caller is told "{code}"')
def check_told(context: Any, code: str) -> None:
    answer = context.link.answer()
    assert answer.error['code'] == code, answer


@then('exactly one got status 200 and the others 409')
def check_many(context: Any) -> None:
    statuses = sorted(answer.status for answer in context.many)
    assert statuses[0] == 200, statuses
    assert set(statuses[1:]) == {409}, statuses


@then('there is no record of key "{key}"')
def check_no_record(context: Any, key: str) -> None:
    assert not context.world.record(key)


@then('the record of key "{key}" is gone in time')
def check_gone(context: Any, key: str) -> None:
    context.world.until(lambda: not context.world.record(key))


@then('the record of key "{key}" says "{state}" in time')
def check_state(context: Any, key: str, state: str) -> None:
    context.world.until(lambda: context.world.record(key) == state)
