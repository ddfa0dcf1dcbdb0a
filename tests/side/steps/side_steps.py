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
from side_backend import ORDER, POOL
from side_fakes import configured
from side_world import (
    MOST_TRIES,
    PAUSE_SECONDS,
    SECRET,
    WAIT_SECONDS,
    World,
    linked,
    read_all,
    running_side,
)

from sardinetrack.catalogue.api import PoolClass
from sardinetrack.http.server import serving
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
from sardinetrack.messages.run import RUN_HEADER, RUN_PATH, Fate
from sardinetrack.messages.run_codec import order_text, read_result
from sardinetrack.side.events import Left

SECRETS = MappingProxyType(
    {
        'no secret': (),
        'a wrong secret': (('authorization', 'Bearer summer-harbour'),),
        "a caller's token": (('authorization', 'Bearer caller-1'),),
    }
)
ORDER_HEADERS = MappingProxyType(
    {
        'none': (),
        'no JSON': ((RUN_HEADER, 'run!'),),
        'a path elsewhere': (
            (
                RUN_HEADER,
                order_text(msgspec.structs.replace(ORDER, path='@127.0.0.1/')),
            ),
        ),
    }
)


def _enter(context: Any, manager: Any) -> Any:
    return context.stack.enter_context(
        context.portal.wrap_async_context_manager(manager),
    )


def _open(context: Any, pool: Any, *, revision: int) -> None:
    context.lines = _Lines()
    logger = logging.getLogger('sardinetrack.side')
    logger.setLevel(logging.INFO)
    logger.addHandler(context.lines)
    context.world = _enter(context, running_side(pool))
    if revision:
        context.portal.call(_configure, context.world, revision)
    context.order = ORDER


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[dict[str, Any]] = []
        self.setFormatter(JsonFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(json.loads(self.format(record)))


async def _configure(world: World, revision: int) -> None:
    # The first digest of revision 0 makes the side ask; here it is told.
    world.parts.configuration.apply(configured(revision))
    await world.until(lambda: world.admission.limit > 0)


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
    parts = context.world.parts
    settings = parts.settings.model_copy(update={'drain_seconds': seconds})
    context.world.side._parts = replace(parts, settings=settings)


@given('the pool allows {seconds:f} seconds of run time')
def step_run_time(context: Any, seconds: float) -> None:
    pool = replace(POOL, max_run_seconds=seconds)
    context.world.parts.configuration._pool = pool


@given('an entry linked to the side')
def step_linked(context: Any) -> None:
    _enter(context, linked(context.world))
    context.link = context.portal.call(context.world.next, LinkUp).link


@when('an order for "{path}" brings "{body}"')
def step_order(context: Any, path: str, body: str) -> None:
    order = msgspec.structs.replace(context.order, path=path)
    context.answer = context.portal.call(
        context.world.order,
        order,
        body.encode(),
    )


@when('an order for "{path}" brings ""')
def step_order_bare(context: Any, path: str) -> None:
    step_order(context, path, '')


@when('an order for "{path}" brings {size:d} bytes')
def step_order_size(context: Any, path: str, size: int) -> None:
    step_order(context, path, 'x' * size)


@when('an order for "{path}" brings bids for workspace "{workspace}"')
def step_order_bids(context: Any, path: str, workspace: str) -> None:
    rows = ((workspace, 1.0, 3, 2.0),)
    context.order = msgspec.structs.replace(context.order, bids=rows)
    step_order(context, path, '')


@when('another order for "{path}" brings "{body}"')
def step_another(context: Any, path: str, body: str) -> None:
    context.order = msgspec.structs.replace(context.order, attempt_id='a2')
    step_order(context, path, body)


@when('an order with method {method} for "{path}" comes')
def step_order_method(context: Any, method: str, path: str) -> None:
    context.order = msgspec.structs.replace(context.order, method=method)
    step_order(context, path, '')


@when('an order for incarnation "{incarnation}" comes')
def step_order_incarnation(context: Any, incarnation: str) -> None:
    context.order = msgspec.structs.replace(
        context.order,
        incarnation=incarnation,
    )
    step_order(context, '/echo', '')


@when('an order with header {header} comes')
def step_order_header(context: Any, header: str) -> None:
    context.reply = context.portal.call(
        _post_run,
        context.world,
        ORDER_HEADERS[header],
    )
    context.answer = None


@when('an order for "{path}" has brought its first piece')
def step_first_piece(context: Any, path: str) -> None:
    order = msgspec.structs.replace(context.order, path=path)
    context.exchange = context.portal.wrap_async_context_manager(
        context.world.streamed(order),
    )
    context.reply = context.exchange.__enter__()
    context.stack.push(context.exchange)
    context.pieces = context.reply.chunks()
    first = context.portal.call(context.pieces.__anext__)
    assert first == b'first '


@when('a suspected order for "{path}" comes')
def step_suspected(context: Any, path: str) -> None:
    context.order = msgspec.structs.replace(context.order, suspect=True)
    step_order(context, path, '')


@then('the decisions know the order as suspected')
def step_known_suspected(context: Any) -> None:
    arrivals = context.world.admission.arrivals
    assert [one.suspect for one in arrivals] == [True], arrivals


@when('{count:d} orders for "{path}" run')
def step_many(context: Any, count: int, path: str) -> None:
    for number in range(count):
        order = msgspec.structs.replace(
            context.order,
            attempt_id=f'other{number}',
            path=path,
        )
        _enter(context, context.world.streamed(order))


@when('the entry drops the connection')
def step_drop(context: Any) -> None:
    context.exchange.__exit__(None, None, None)


@when('an entry sends half of a body and vanishes')
def step_half_body(context: Any) -> None:
    context.portal.call(_half_body, context.world)


@when('an entry asks about attempt "{attempt_id}"')
def step_ask(context: Any, attempt_id: str) -> None:
    context.fate = context.portal.call(context.world.ask, attempt_id)


@when('an entry asks process "{process}" about attempt "{attempt_id}"')
def step_ask_other(context: Any, process: str, attempt_id: str) -> None:
    context.fate = context.portal.call(context.world.ask, attempt_id, process)


@when('an entry asks and cancels attempt "{attempt_id}"')
def step_ask_cancel(context: Any, attempt_id: str) -> None:
    ask = partial(context.world.ask, attempt_id, cancel=True)
    context.fate = context.portal.call(ask)


@when('{count:d} entries ask and cancel attempt "{attempt_id}" at once')
def step_ask_often(context: Any, count: int, attempt_id: str) -> None:
    context.portal.call(_ask_often, context.world, count, attempt_id)


@when('an order for "{path}" runs and nobody reads the answer')
def step_unread(context: Any, path: str) -> None:
    order = msgspec.structs.replace(context.order, path=path)
    _enter(context, context.world.streamed(order))


@when('the engine freezes')
def step_freeze(context: Any) -> None:
    context.world.backend.thawed = anyio.Event()


@when('the engine thaws')
def step_thaw(context: Any) -> None:
    context.portal.call(_thaw, context.world)


@when('the backend server goes away')
def step_server_gone(context: Any) -> None:
    context.portal.call(_stop_server, context.world)


@when('the backend server comes back')
def step_server_back(context: Any) -> None:
    port = context.world.server.port
    backend = context.world.backend
    _enter(context, serving(backend, '127.0.0.1', port))


@then('the answer has fate {fate} and status {status:d}')
def step_fate_status(context: Any, fate: str, status: int) -> None:
    run_result = context.answer.run_result
    assert run_result.fate == Fate(fate), run_result
    assert context.answer.status == run_result.status == status, run_result


@then('the answer\'s body is "{body}"')
def step_body(context: Any, body: str) -> None:
    assert context.answer.body == body.encode(), context.answer


@then('the answer\'s body is ""')
def step_no_body(context: Any) -> None:
    assert not context.answer.body, context.answer
    assert context.answer.body is not None, context.answer


@then("the answer's body is broken")
def step_broken(context: Any) -> None:
    assert context.answer.body is None, context.answer


@then("the answer's headers are those of the backend server")
def step_headers(context: Any) -> None:
    headers = dict(context.answer.headers)
    assert headers['x-server'] == 'galata \xe9', headers
    assert headers['x-seen'] == 'pilot', headers


@then('the answer names the length "{length}"')
def step_length(context: Any, length: str) -> None:
    headers = dict(context.answer.headers)
    assert headers.get('content-length', 'none') == length, headers


@then('the backend server has run "{path}" once')
def step_run_once(context: Any, path: str) -> None:
    assert context.world.backend.executions == [path]


@then('the backend server has run nothing')
def step_run_nothing(context: Any) -> None:
    assert not context.world.backend.executions


@then("the backend server's last piece follows once it comes")
def step_last_piece(context: Any) -> None:
    context.portal.call(_open_gate, context.world)
    last = context.portal.call(context.pieces.__anext__)
    assert last == b'last', last
    try:
        context.portal.call(context.pieces.__anext__)
    except StopAsyncIteration:
        return
    raise AssertionError('the answer goes on')


@then('the backend server sees the request cancelled')
def step_cancelled(context: Any) -> None:
    context.portal.call(_cancelled, context.world)


@then('attempt "{attempt_id}" has fate {fate}')
def step_fate(context: Any, attempt_id: str, fate: str) -> None:
    context.portal.call(
        context.world.until,
        lambda: context.world.admission.fates[attempt_id] is not Fate.RUNNING,
    )
    told = context.portal.call(context.world.ask, attempt_id)
    assert told == Fate(fate), told


@then('the fate told is {fate}')
def step_told(context: Any, fate: str) -> None:
    assert context.fate == Fate(fate), context.fate


@then('the rest of the answer is broken')
def step_rest_broken(context: Any) -> None:
    assert context.portal.call(read_all, context.pieces) is None


@then('the order is refused with status {status:d} for "{reason}"')
def step_refused(context: Any, status: int, reason: str) -> None:
    if context.answer is None:
        run_result = read_result(context.reply.header('sardinetrack-result'))
        assert context.reply.status == status, context.reply
    else:
        run_result = context.answer.run_result
    context.refusal = run_result
    assert run_result.reason == reason, run_result
    if reason != 'duplicate':
        assert run_result.fate is Fate.NOT_STARTED, run_result


@then("the refusal's fate is {fate}")
def step_refusal_fate(context: Any, fate: str) -> None:
    assert context.refusal.fate == Fate(fate), context.refusal


@then('the side offers {count:d} slots')
def step_slots(context: Any, count: int) -> None:
    context.portal.call(
        context.world.until,
        lambda: context.world.admission.limit == count,
    )


@then('the attempt has ended whole with cost {cost:d}')
def step_cost(context: Any, cost: int) -> None:
    assert context.world.admission.ends == [Left('a1', whole=True, cost=cost)]


@then('the attempt has ended whole with a cost above nothing')
def step_some_cost(context: Any) -> None:
    end = context.world.admission.ends[0]
    assert end.whole, end
    assert end.cost > 0, end


@when('the side begins to drain')
def step_drain(context: Any) -> None:
    context.drain = context.portal.start_task_soon(context.world.side.drain)
    context.ended = context.portal.start_task_soon(context.world.side.run)


@then('the entry hears that the side drains')
def step_hears_drain(context: Any) -> None:
    _hear(context, SideLoad, lambda load: load.phase is SidePhase.DRAINING)


@then('the side has not ended')
def step_not_ended(context: Any) -> None:
    assert not context.ended.done()


@then('the side has ended')
def step_ended(context: Any) -> None:
    context.ended.result(timeout=15)
    context.drain.result(timeout=15)


@when('a stranger calls {method} {path} with {secret}')
def step_stranger(context: Any, method: str, path: str, secret: str) -> None:
    context.reply = context.portal.call(
        _call,
        context.world,
        method,
        context.world.peer_url(path),
        SECRETS[secret],
    )


@then('the stranger gets status {status:d}')
def step_stranger_status(context: Any, status: int) -> None:
    assert context.reply.status == status, context.reply


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
    reply = context.portal.call(context.world.get, url)
    assert reply.status == 200, reply
    context.page = reply.body.decode()


@then('the text holds "{text}"')
def step_holds(context: Any, text: str) -> None:
    assert text in context.page, context.page


@then('the text does not hold "{text}"')
def step_holds_not(context: Any, text: str) -> None:
    assert text not in context.page, context.page


@then('the decision "{sentence}" is logged with')
def step_line(context: Any, sentence: str) -> None:
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
    # Whatever the greeting brought is not the answer to this digest.
    _hear(context, ConfigDigest, bool)
    _post(context, ConfigDigest(revision, f'digest {revision}'))


@then('the entry hears the digest of revision {revision:d}')
def step_hear_digest(context: Any, revision: int) -> None:
    _hear(context, ConfigDigest, lambda one: one.revision == revision)


@then('the entry hears the configuration of revision {revision:d}')
def step_hear_configuration(context: Any, revision: int) -> None:
    _hear(context, ConfigUpdate, lambda one: one.revision == revision)


@then('the entry hears a load with {free:d} free slots')
def step_hear_load(context: Any, free: int) -> None:
    _hear(context, SideLoad, lambda one: one.free == free)


@when('the entry bids for workspace "{workspace}"')
def step_bid(context: Any, workspace: str) -> None:
    _post(context, Bids(POOL.name, 0, (BidRow(workspace, 1, 2, 1),)))


@then('the entry receives grant {number:d}')
def step_grant(context: Any, number: int) -> None:
    _hear(context, Grant, lambda one: one.number == number)


@when('the entry declines grant {number:d}')
def step_decline(context: Any, number: int) -> None:
    _post(context, Decline(number))


@when("the entry's link is cut")
def step_cut_link(context: Any) -> None:
    context.portal.call(context.link.close)


@then('the decision object has seen "{call}"')
def step_seen(context: Any, call: str) -> None:
    context.portal.call(
        context.world.until,
        lambda: call in context.world.admission.calls,
    )


def _hear(context: Any, kind: type, matches: Any) -> None:
    context.portal.call(
        context.world.next,
        LinkMessageReceived,
        lambda event: (
            isinstance(event.message, kind) and matches(event.message)
        ),
    )


def _post(context: Any, message: Any) -> None:
    context.portal.call(context.link.post, message)


async def _open_gate(world: World) -> None:
    world.backend.gate.set()


async def _cancelled(world: World) -> None:
    with anyio.fail_after(WAIT_SECONDS):
        await world.backend.cancelled.wait()


async def _thaw(world: World) -> None:
    world.backend.thawed.set()


async def _ask_often(world: World, count: int, attempt_id: str) -> None:
    ask = partial(world.ask, attempt_id, cancel=True)
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(ask)


async def _stop_server(world: World) -> None:
    world.server.stop()
    await world.server.closed()


async def _call(world: World, method: str, url: str, pairs: Any) -> Any:
    return await world.client.call(method, url, headers=pairs)


async def _post_run(world: World, pairs: Any) -> Any:
    url = world.peer_url(RUN_PATH)
    return await _call(world, 'POST', url, [SECRET.header(), *pairs])


async def _until_status(world: World, url: str, status: int) -> None:
    for _ in range(MOST_TRIES):
        if (await world.get(url)).status == status:
            return
        await anyio.sleep(PAUSE_SECONDS)
    raise AssertionError(f'{url} never answered {status}')


async def _half_body(world: World) -> None:
    address = world.side.peer
    host = address.address.rpartition(':')[0]
    name, text = SECRET.header()
    order = order_text(ORDER)
    async with await anyio.connect_tcp(host, address.port) as stream:
        await stream.send(
            f'POST {RUN_PATH} HTTP/1.1\r\nhost: side\r\n{name}: {text}\r\n'
            f'{RUN_HEADER}: {order}\r\ncontent-length: 20\r\n\r\nhalf'.encode(),
        )
