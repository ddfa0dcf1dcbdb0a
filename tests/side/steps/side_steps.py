"""Steps for the side daemon."""

from __future__ import annotations

import json
import logging
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Any

import anyio
import msgspec
from behave import given, then, when
from side_backend import POOL, RUN_REQUEST
from side_fakes import configured
from side_world import (
    MAX_POLLS,
    POLL_INTERVAL_SECONDS,
    SECRET,
    WAIT_SECONDS,
    World,
    linked,
    read_all,
    running_side,
)

from sardinetrack.catalogue.api import PoolClass
from sardinetrack.http.server import serve
from sardinetrack.links.api import LinkMessageReceived, LinkUp
from sardinetrack.logs.formatters import JsonFormatter
from sardinetrack.messages.api import (
    BidRow,
    Bids,
    ConfigDigest,
    ConfigUpdate,
    Decline,
    Grant,
    SideLoad,
    SidePhase,
)
from sardinetrack.messages.run import RUN_HEADER, RUN_PATH, AttemptStatus
from sardinetrack.messages.run_codec import (
    decode_run_result,
    encode_run_request,
)
from sardinetrack.side.events import AttemptEnded

SECRETS = MappingProxyType(
    {
        'no secret': (),
        'a wrong secret': (('authorization', 'Bearer summer-harbour'),),
        "a caller's token": (('authorization', 'Bearer caller-1'),),
    }
)
RUN_REQUEST_HEADERS = MappingProxyType(
    {
        'none': (),
        'no JSON': ((RUN_HEADER, 'run!'),),
        'a path elsewhere': (
            (
                RUN_HEADER,
                encode_run_request(
                    msgspec.structs.replace(RUN_REQUEST, path='@127.0.0.1/')
                ),
            ),
        ),
    }
)


def _enter(context: Any, manager: Any) -> Any:
    return context.stack.enter_context(
        context.portal.wrap_async_context_manager(manager),
    )


def _open(context: Any, pool: Any, *, revision: int) -> None:
    _open_side(context, running_side(pool), revision=revision)


def _open_side(context: Any, side: Any, *, revision: int) -> None:
    context.lines = _LogLines()
    logger = logging.getLogger('sardinetrack.side')
    logger.setLevel(logging.INFO)
    logger.addHandler(context.lines)
    context.world = _enter(context, side)
    if revision:
        context.portal.call(_configure, context.world, revision)
    context.run_request = RUN_REQUEST


class _LogLines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[dict[str, Any]] = []
        self.setFormatter(JsonFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(json.loads(self.format(record)))


async def _configure(world: World, revision: int) -> None:
    # Without a configuration the side would request one by its digest of
    # revision 0; here it is set directly.
    world.dependencies.configuration.apply(configured(revision))
    await world.wait_until(lambda: world.admission.load().limit > 0)


@given('a side with 2 slots and its configuration')
def step_side(context: Any) -> None:
    _open(context, POOL, revision=1)


@given('a side that has no configuration')
def step_bare_side(context: Any) -> None:
    _open(context, POOL, revision=0)


@given('a side of a model pool')
def step_model_side(context: Any) -> None:
    pool = replace(POOL, pool_class=PoolClass.MODEL)
    _open(context, pool, revision=1)


@given('a side that drains for {seconds:f} seconds')
def step_short_drain(context: Any, seconds: float) -> None:
    _open(context, POOL, revision=1)
    dependencies = context.world.dependencies
    settings = dependencies.settings.model_copy(
        update={'drain_seconds': seconds}
    )
    context.world.side._dependencies = replace(dependencies, settings=settings)


@given('the pool allows {seconds:f} seconds of run time')
def step_run_time(context: Any, seconds: float) -> None:
    pool = replace(POOL, max_run_seconds=seconds)
    context.world.dependencies.configuration._pool = pool


@given('an entry linked to the side')
def step_linked(context: Any) -> None:
    _enter(context, linked(context.world))
    context.link = context.portal.call(context.world.next_event, LinkUp).link


@when('a run request for "{path}" with body "{body}" is sent')
def step_run_request(context: Any, path: str, body: str) -> None:
    run_request = msgspec.structs.replace(context.run_request, path=path)
    context.response = context.portal.call(
        context.world.send_run_request,
        run_request,
        body.encode(),
    )


@when('a run request for "{path}" with body "" is sent')
def step_run_request_bare(context: Any, path: str) -> None:
    step_run_request(context, path, '')


@when('a run request for "{path}" with a body of {size:d} bytes is sent')
def step_run_request_size(context: Any, path: str, size: int) -> None:
    step_run_request(context, path, 'x' * size)


@when(
    'a run request for "{path}" with bids for workspace "{workspace}" is sent'
)
def step_run_request_bids(context: Any, path: str, workspace: str) -> None:
    rows = ((workspace, 1.0, 3, 2.0),)
    context.run_request = msgspec.structs.replace(
        context.run_request, bids=rows
    )
    step_run_request(context, path, '')


@when('another run request for "{path}" with body "{body}" is sent')
def step_another(context: Any, path: str, body: str) -> None:
    context.run_request = msgspec.structs.replace(
        context.run_request, attempt_id='a2'
    )
    step_run_request(context, path, body)


@when('a run request for "{path}" with method {method} is sent')
def step_run_request_method(context: Any, method: str, path: str) -> None:
    context.run_request = msgspec.structs.replace(
        context.run_request, method=method
    )
    step_run_request(context, path, '')


@when('a run request for incarnation "{incarnation}" is sent')
def step_run_request_incarnation(context: Any, incarnation: str) -> None:
    context.run_request = msgspec.structs.replace(
        context.run_request,
        incarnation=incarnation,
    )
    step_run_request(context, '/echo', '')


@when('a run request with header {header} is sent')
def step_run_request_header(context: Any, header: str) -> None:
    context.raw_response = context.portal.call(
        _post_run,
        context.world,
        RUN_REQUEST_HEADERS[header],
    )
    context.response = None


@when('a run request for "{path}" has returned its first chunk')
def step_first_chunk(context: Any, path: str) -> None:
    run_request = msgspec.structs.replace(context.run_request, path=path)
    context.exchange = context.portal.wrap_async_context_manager(
        context.world.streamed(run_request),
    )
    context.raw_response = context.exchange.__enter__()
    context.stack.push(context.exchange)
    context.body_chunks = context.raw_response.chunks()
    first = context.portal.call(context.body_chunks.__anext__)
    assert first == b'first '


@when('a suspect run request for "{path}" is sent')
def step_suspect(context: Any, path: str) -> None:
    context.run_request = msgspec.structs.replace(
        context.run_request, suspect=True
    )
    step_run_request(context, path, '')


@then('the admission object has received it as suspect')
def step_known_suspect(context: Any) -> None:
    arrivals = context.world.admission.arrivals
    assert [one.suspect for one in arrivals] == [True], arrivals


@when('{count:d} run requests for "{path}" are running')
def step_many(context: Any, count: int, path: str) -> None:
    for number in range(count):
        run_request = msgspec.structs.replace(
            context.run_request,
            attempt_id=f'other{number}',
            path=path,
        )
        _enter(context, context.world.streamed(run_request))


@when('the entry closes the connection')
def step_drop(context: Any) -> None:
    context.exchange.__exit__(None, None, None)


@when('an entry sends half of a body and disconnects')
def step_half_body(context: Any) -> None:
    context.portal.call(_half_body, context.world)


@when('an entry queries attempt "{attempt_id}"')
def step_query(context: Any, attempt_id: str) -> None:
    context.fate = context.portal.call(context.world.query_attempt, attempt_id)


@when('an entry queries process "{process}" about attempt "{attempt_id}"')
def step_query_other(context: Any, process: str, attempt_id: str) -> None:
    context.fate = context.portal.call(
        context.world.query_attempt, attempt_id, process
    )


@when('an entry queries and cancels attempt "{attempt_id}"')
def step_query_cancel(context: Any, attempt_id: str) -> None:
    query = partial(context.world.query_attempt, attempt_id, cancel=True)
    context.fate = context.portal.call(query)


@when('{count:d} entries query and cancel attempt "{attempt_id}" concurrently')
def step_query_often(context: Any, count: int, attempt_id: str) -> None:
    context.portal.call(_query_often, context.world, count, attempt_id)


@when('a run request for "{path}" is sent and its response is not read')
def step_unread(context: Any, path: str) -> None:
    run_request = msgspec.structs.replace(context.run_request, path=path)
    _enter(context, context.world.streamed(run_request))


@when('the engine is suspended')
def step_suspend(context: Any) -> None:
    context.world.backend.responsive = anyio.Event()


@when('the engine is resumed')
def step_resume(context: Any) -> None:
    context.portal.call(_resume, context.world)


@when('the backend server stops')
def step_stop_server(context: Any) -> None:
    context.portal.call(_stop_server, context.world)


@when('the backend server starts again')
def step_restart_server(context: Any) -> None:
    port = context.world.server.port
    backend = context.world.backend
    _enter(context, serve(backend, '127.0.0.1', port))


@then('the response has fate {fate} and status {status:d}')
def step_fate_status(context: Any, fate: str, status: int) -> None:
    run_result = context.response.run_result
    assert run_result.fate == AttemptStatus(fate), run_result
    assert context.response.status == run_result.status == status, run_result


@then('the response\'s body is "{body}"')
def step_body(context: Any, body: str) -> None:
    assert context.response.body == body.encode(), context.response


@then('the response\'s body is ""')
def step_no_body(context: Any) -> None:
    assert not context.response.body, context.response
    assert context.response.body is not None, context.response


@then("the response's body is truncated")
def step_broken(context: Any) -> None:
    assert context.response.body is None, context.response


@then("the response's headers are those of the backend server")
def step_headers(context: Any) -> None:
    headers = dict(context.response.headers)
    assert headers['x-server'] == 'galata \xe9', headers
    assert headers['x-seen'] == 'pilot', headers


@then('the response states the length "{length}"')
def step_length(context: Any, length: str) -> None:
    headers = dict(context.response.headers)
    assert headers.get('content-length', 'none') == length, headers


@then('the backend server has run "{path}" once')
def step_run_once(context: Any, path: str) -> None:
    assert context.world.backend.executions == [path]


@then('the backend server has run nothing')
def step_run_nothing(context: Any) -> None:
    assert not context.world.backend.executions


@then("the backend server's last chunk follows once it is sent")
def step_last_chunk(context: Any) -> None:
    context.portal.call(_open_gate, context.world)
    last = context.portal.call(context.body_chunks.__anext__)
    assert last == b'last', last
    try:
        context.portal.call(context.body_chunks.__anext__)
    except StopAsyncIteration:
        return
    raise AssertionError('the response goes on')


@then('the backend server sees the request cancelled')
def step_cancelled(context: Any) -> None:
    context.portal.call(_wait_cancelled, context.world)


@then('attempt "{attempt_id}" has fate {fate}')
def step_fate(context: Any, attempt_id: str, fate: str) -> None:
    context.portal.call(
        context.world.wait_until,
        lambda: (
            context.world.admission.fates[attempt_id]
            is not AttemptStatus.RUNNING
        ),
    )
    fate_now = context.portal.call(context.world.query_attempt, attempt_id)
    assert fate_now == AttemptStatus(fate), fate_now


@then('the returned fate is {fate}')
def step_fate_returned(context: Any, fate: str) -> None:
    assert context.fate == AttemptStatus(fate), context.fate


@then('the rest of the response is truncated')
def step_rest_broken(context: Any) -> None:
    assert context.portal.call(read_all, context.body_chunks) is None


@then('the run request is refused with status {status:d} for "{reason}"')
def step_refused(context: Any, status: int, reason: str) -> None:
    if context.response is None:
        run_result = decode_run_result(
            context.raw_response.header('sardinetrack-result')
        )
        assert context.raw_response.status == status, context.raw_response
    else:
        run_result = context.response.run_result
    context.refusal = run_result
    assert run_result.reason == reason, run_result
    if reason != 'duplicate':
        assert run_result.fate is AttemptStatus.NOT_STARTED, run_result


@then("the refusal's fate is {fate}")
def step_refusal_fate(context: Any, fate: str) -> None:
    assert context.refusal.fate == AttemptStatus(fate), context.refusal


@then('the side offers {count:d} slots')
def step_slots(context: Any, count: int) -> None:
    context.portal.call(
        context.world.wait_until,
        lambda: context.world.admission.limit == count,
    )


@then('the attempt has ended complete with cost {cost:d}')
def step_cost(context: Any, cost: int) -> None:
    assert context.world.admission.ends == [
        AttemptEnded('a1', complete=True, cost=cost)
    ]


@then('the attempt has ended complete with a positive cost')
def step_some_cost(context: Any) -> None:
    end = context.world.admission.ends[0]
    assert end.complete, end
    assert end.cost > 0, end


@when('the side begins to drain')
def step_drain(context: Any) -> None:
    context.drain = context.portal.start_task_soon(context.world.side.drain)
    context.ended = context.portal.start_task_soon(context.world.side.run)


@then('the entry receives a load of a draining side')
def step_receive_drain(context: Any) -> None:
    _expect_message(
        context, SideLoad, lambda load: load.phase is SidePhase.DRAINING
    )


@then('the side has not ended')
def step_not_ended(context: Any) -> None:
    assert not context.ended.done()


@then('the side has ended')
def step_ended(context: Any) -> None:
    context.ended.result(timeout=15)
    context.drain.result(timeout=15)


@when('{method} {path} is called with {secret}')
def step_unauthenticated(
    context: Any, method: str, path: str, secret: str
) -> None:
    context.raw_response = context.portal.call(
        _call,
        context.world,
        method,
        context.world.peer_url(path),
        SECRETS[secret],
    )


@then('the call is refused with status {status:d}')
def step_unauthenticated_status(context: Any, status: int) -> None:
    assert context.raw_response.status == status, context.raw_response


@then('operators see that it is {word}')
def step_ready(context: Any, word: str) -> None:
    wanted = 200 if word == 'ready' else 503
    url = context.world.operator_url('/readyz')
    context.portal.call(_until_status, context.world, url, wanted)


@when('an operator reads {path}')
def step_read(context: Any, path: str) -> None:
    url = context.world.operator_url(path)
    if path == '/metrics':
        context.portal.call(anyio.sleep, 0.2)
    response = context.portal.call(context.world.get, url)
    assert response.status == 200, response
    context.page = response.body.decode()


@then('the text contains "{text}"')
def step_contains(context: Any, text: str) -> None:
    assert text in context.page, context.page


@then('the text does not contain "{text}"')
def step_contains_not(context: Any, text: str) -> None:
    assert text not in context.page, context.page


@then('the log has "{sentence}" once')
def step_logged_once(context: Any, sentence: str) -> None:
    found = [line['sentence'] for line in context.lines.lines]
    assert found.count(sentence) == 1, found


@then('the decision "{sentence}" is logged with')
def step_log_line(context: Any, sentence: str) -> None:
    row = context.table[0].as_dict()
    wanted = ('side', sentence, 'INFO', *sorted(row.items()))
    found = [
        (
            line['prefix'],
            line['sentence'],
            line['level'],
            *sorted((name, line.get(name)) for name in row),
        )
        for line in context.lines.lines
    ]
    assert wanted in found, found


@when('the entry sends the configuration of revision {revision:d}')
def step_send_configuration(context: Any, revision: int) -> None:
    _post(context, configured(revision))


@when('the entry sends a digest of revision {revision:d}')
def step_send_digest(context: Any, revision: int) -> None:
    # The digest that was sent when the link opened is not the response to this
    # one.
    _expect_message(context, ConfigDigest, bool)
    _post(context, ConfigDigest(revision, f'digest {revision}'))


@then('the entry receives the digest of revision {revision:d}')
def step_receive_digest(context: Any, revision: int) -> None:
    _expect_message(context, ConfigDigest, lambda one: one.revision == revision)


@then('the entry receives the configuration of revision {revision:d}')
def step_receive_configuration(context: Any, revision: int) -> None:
    _expect_message(context, ConfigUpdate, lambda one: one.revision == revision)


@then('the entry receives a load with {free:d} free slots')
def step_receive_load(context: Any, free: int) -> None:
    _expect_message(context, SideLoad, lambda one: one.free == free)


@when('the entry bids for workspace "{workspace}"')
def step_bid(context: Any, workspace: str) -> None:
    _post(context, Bids(POOL.name, 0, (BidRow(workspace, 1, 2, 1),)))


@then('the entry receives grant {number:d}')
def step_grant(context: Any, number: int) -> None:
    _expect_message(context, Grant, lambda one: one.number == number)


@when('the entry declines grant {number:d}')
def step_decline(context: Any, number: int) -> None:
    _post(context, Decline(number))


@when("the entry's link is closed")
def step_close_link(context: Any) -> None:
    context.portal.call(context.link.close)


@then('the admission object has received "{call}"')
def step_admission_call(context: Any, call: str) -> None:
    context.portal.call(
        context.world.wait_until,
        lambda: call in context.world.admission.calls,
    )


def _expect_message(context: Any, message_type: type, matches: Any) -> None:
    context.portal.call(
        context.world.next_event,
        LinkMessageReceived,
        lambda event: (
            isinstance(event.message, message_type) and matches(event.message)
        ),
    )


def _post(context: Any, message: Any) -> None:
    context.portal.call(context.link.post, message)


async def _open_gate(world: World) -> None:
    world.backend.gate.set()


async def _wait_cancelled(world: World) -> None:
    with anyio.fail_after(WAIT_SECONDS):
        await world.backend.cancelled.wait()


async def _resume(world: World) -> None:
    world.backend.responsive.set()


async def _query_often(world: World, count: int, attempt_id: str) -> None:
    query = partial(world.query_attempt, attempt_id, cancel=True)
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(query)


async def _stop_server(world: World) -> None:
    world.server.stop()
    await world.server.wait_closed()


async def _call(world: World, method: str, url: str, pairs: Any) -> Any:
    return await world.client.call(method, url, headers=pairs)


async def _post_run(world: World, pairs: Any) -> Any:
    url = world.peer_url(RUN_PATH)
    return await _call(world, 'POST', url, [SECRET.header(), *pairs])


async def _until_status(world: World, url: str, status: int) -> None:
    for _ in range(MAX_POLLS):
        if (await world.get(url)).status == status:
            return
        await anyio.sleep(POLL_INTERVAL_SECONDS)
    raise AssertionError(f'{url} never returned {status}')


async def _half_body(world: World) -> None:
    address = world.side.peer_server
    host = address.address.rpartition(':')[0]
    name, text = SECRET.header()
    field = encode_run_request(RUN_REQUEST)
    async with await anyio.connect_tcp(host, address.port) as stream:
        await stream.send(
            f'POST {RUN_PATH} HTTP/1.1\r\nhost: side\r\n{name}: {text}\r\n'
            f'{RUN_HEADER}: {field}\r\ncontent-length: 20\r\n\r\nhalf'.encode(),
        )
