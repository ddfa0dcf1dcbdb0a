"""Steps for the truth about what has run."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, then
from fake_side import Script

from sardinetrack.messages.run import Fate

CHART = Script(chunks=(b'chart',), headers=(('content-length', '5'),))


@given('"{name}" refuses once and then answers "chart"')
def refuse_once(context: Any, name: str) -> None:
    context.world.script(name, Script(fate=Fate.NOT_STARTED))
    context.world.script(name, CHART)


@given('"{name}" breaks off once and then answers "chart"')
def break_once(context: Any, name: str) -> None:
    context.world.script(name, Script(breaks_before=True))
    context.world.script(name, CHART)


@given('"{name}" breaks off and has no slot from then on')
def break_and_fill(context: Any, name: str) -> None:
    context.world.script(name, Script(breaks_before=True, fills=True))


@given('the entry trusts no word that is older than {seconds:d} seconds')
def given_trust(context: Any, seconds: int) -> None:
    patched = patch('sardinetrack.entry.fate.TRUSTED_SECONDS', seconds)
    context.world.stack.enter_context(patched)


@given('the sides answer questions with "{fate}"')
def answer_questions(context: Any, fate: str) -> None:
    for side in context.world.sides.values():
        side.fates.append(Fate(fate))


@given('all sides are busy')
def fill_sides(context: Any) -> None:
    context.world.fill()


@given('"{name}" has stopped listening without the entry\'s knowledge')
def stop_listening(context: Any, name: str) -> None:
    entry = context.world.entries['entry-a']
    linked = entry.core.peers.side(name)
    linked.known = replace(linked.known, address='127.0.0.1:1')


@then('the question named the attempt and cancelled it')
def check_question(context: Any) -> None:
    side = context.world.sides['side-c']
    query = side.asked[0]
    order = side.orders[0]
    assert query.attempt_id == order.attempt_id
    assert query.incarnation == side.incarnation and query.cancel


@then('the error is {status:d} "{code}" and may have run')
def check_may_have_run(context: Any, status: int, code: str) -> None:
    answer = context.world.answer
    assert (answer.status, answer.error['code']) == (status, code), answer
    assert answer.headers['sardinetrack-not-run'] == 'false', answer


@then('the error did not run')
def check_did_not_run(context: Any) -> None:
    answer = context.world.answer
    assert answer.status == 503, answer
    assert answer.headers['sardinetrack-not-run'] == 'true', answer


@then('the answer tells when to come back')
def check_retry_after(context: Any) -> None:
    assert int(context.world.answer.headers['retry-after']) >= 1


@then('"{name}" has received {count:d} order')
@then('"{name}" has received {count:d} orders')
def check_orders(context: Any, name: str, count: int) -> None:
    side = context.world.sides[name]
    assert len(side.orders) == count, side.orders
    assert len({order.attempt_id for order in side.orders}) == count
