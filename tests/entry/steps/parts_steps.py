"""Steps for components that need no network."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from sardinetrack.catalogue.api import RepeatableCall
from sardinetrack.entry.bodies import BodyBudget
from sardinetrack.entry.error_responses import error_headers
from sardinetrack.entry.history import RunHistory
from sardinetrack.entry.services import is_repeatable
from sardinetrack.entry.sse import EventReader
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.routing.api import AttemptOutcome, Reject

CALLS = (RepeatableCall('GET', '/charts'),)
EVENTS = (b'data: {"a": 1}\n\n', b': note\n\n', b'data: x\r\n\r\n')


@then('{method} of "{path}" is repeatable')
def check_repeatable_call(context: Any, method: str, path: str) -> None:
    assert is_repeatable(CALLS, method, path)


@then('{method} of "{path}" is not repeatable')
def check_other_call(context: Any, method: str, path: str) -> None:
    assert not is_repeatable(CALLS, method, path)


@then('every split of a stream returns the same complete events')
def check_splits(context: Any) -> None:
    events = st.lists(st.sampled_from(EVENTS), max_size=6)
    sizes = st.lists(st.integers(1, 20), max_size=40)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @drawn(events, sizes, st.binary(max_size=5))
    def one(whole: list[bytes], pieces: list[int], tail: bytes) -> None:
        stream = b''.join(whole)
        reader = EventReader()
        ended = b'%bdata: [DONE]\n\n' % stream
        assert _feed(reader, ended, pieces) == ended
        assert reader.done
        assert reader.events == sum(b'data' in event for event in whole)
        cut = EventReader()
        assert _feed(cut, b'%bdata: %b' % (stream, tail[:1]), pieces) == stream
        assert not cut.done

    one()


def _feed(reader: EventReader, stream: bytes, sizes: list[int]) -> bytes:
    returned = b''
    for size in sizes:
        returned += reader.feed(stream[:size])
        stream = stream[size:]
    return returned + reader.feed(stream)


@then(
    'after attempts that ended {ends}, "{decided}" is reported as "{reported}"'
)
def check_history(context: Any, ends: str, decided: str, reported: str) -> None:
    reports: list[bool] = []
    history = RunHistory(reports.append)
    for end in ends.split(', '):
        history.attempt_started()
        assert reports[-1]
        history.attempt_ended(AttemptOutcome(end))
    assert reports[-1] == (ends != 'not_started')
    failure = history.failure(Reject('1', ErrorKind(decided)))
    assert failure.kind == reported, failure


@given('a budget of {total:d} bytes, {own:d} for each workspace')
def make_budget(context: Any, total: int, own: int) -> None:
    context.budget = BodyBudget(total, own)
    context.accounts = {
        name: context.budget.account(name) for name in ('flood', 'pilot')
    }


@when('"{name}" reserves {size:d} bytes')
@then('"{name}" may reserve {size:d} bytes')
def reserve(context: Any, name: str, size: int) -> None:
    context.accounts[name].reserve(size)


@then('"{name}" is refused one byte more')
def check_refused(context: Any, name: str) -> None:
    try:
        context.budget.account(name).reserve(1)
    except RequestError as error:
        assert error.kind is ErrorKind.QUEUE_FULL
        return
    raise AssertionError('the reservation was not rejected')


@when('"{name}" releases everything')
def release(context: Any, name: str) -> None:
    with context.accounts[name]:
        reserved_bytes = context.budget.reserved_bytes
    assert context.budget.reserved_bytes < reserved_bytes


@then('an error with a delay of {seconds:g} seconds has Retry-After "{text}"')
def check_seconds(context: Any, seconds: float, text: str) -> None:
    failure = RequestError(
        ErrorKind.QUEUE_FULL,
        retry_after_seconds=seconds,
    )
    assert dict(error_headers(failure))['retry-after'] == text
