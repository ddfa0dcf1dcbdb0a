"""Steps for whether a request has run."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, then
from fake_side import Script

from sardinetrack.messages.run import AttemptStatus

CHART = Script(chunks=(b'chart',), headers=(('content-length', '5'),))


@given('"{name}" refuses one run request and then returns "chart"')
def refuse_once(context: Any, name: str) -> None:
    context.world.script(name, Script(fate=AttemptStatus.NOT_STARTED))
    context.world.script(name, CHART)


@given('"{name}" closes one connection and then returns "chart"')
def close_once(context: Any, name: str) -> None:
    context.world.script(name, Script(breaks_before_result=True))
    context.world.script(name, CHART)


@given('"{name}" closes the connection and has no free slot afterwards')
def close_and_fill(context: Any, name: str) -> None:
    context.world.script(name, Script(breaks_before_result=True, fills=True))


@given(
    'the entry trusts "not started" for {seconds:d} seconds after the dispatch'
)
def given_trust(context: Any, seconds: int) -> None:
    patched = patch(
        'sardinetrack.entry.status_query.STATUS_TRUST_SECONDS', seconds
    )
    context.world.stack.enter_context(patched)


@given('the sides respond to status queries with "{fate}"')
def set_statuses(context: Any, fate: str) -> None:
    for side in context.world.sides.values():
        side.status_replies.append(AttemptStatus(fate))


@given('all sides are busy')
def fill_sides(context: Any) -> None:
    context.world.fill()


@given('"{name}" has stopped listening while its link is up')
def stop_listening(context: Any, name: str) -> None:
    entry = context.world.entries['entry-a']
    linked = entry.components.peers.side(name)
    linked.endpoint = replace(linked.endpoint, address='127.0.0.1:1')


@then('the status query named the attempt and cancelled it')
def check_status_query(context: Any) -> None:
    side = context.world.sides['side-c']
    query = side.status_queries[0]
    run_request = side.run_requests[0]
    assert query.attempt_id == run_request.attempt_id
    assert query.incarnation == side.incarnation and query.cancel


@then('the error is {status:d} "{code}" and the request may have run')
def check_may_have_run(context: Any, status: int, code: str) -> None:
    response = context.world.response
    assert (response.status, response.error['code']) == (status, code), response
    assert response.headers['sardinetrack-not-run'] == 'false', response


@then('the error says that the request did not run')
def check_did_not_run(context: Any) -> None:
    response = context.world.response
    assert response.status == 503, response
    assert response.headers['sardinetrack-not-run'] == 'true', response


@then('the response has a Retry-After header')
def check_retry_after(context: Any) -> None:
    assert int(context.world.response.headers['retry-after']) >= 1


@then('"{name}" has received {count:d} run request')
@then('"{name}" has received {count:d} run requests')
def check_run_requests(context: Any, name: str, count: int) -> None:
    side = context.world.sides[name]
    assert len(side.run_requests) == count, side.run_requests
    assert (
        len({run_request.attempt_id for run_request in side.run_requests})
        == count
    )
