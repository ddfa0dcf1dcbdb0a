"""Steps for answers that are passed on."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

from behave import given, then, when
from fake_side import Script
from samples import (
    COMPLETIONS,
    DONE,
    EVENTS,
    JSON,
    completion,
    event,
    service_script,
    usage_body,
)

HALF = b'data: {"choices": [{"del'
HOP = (
    ('connection', 'keep-alive, x-hop'),
    ('x-hop', '1'),
    ('keep-alive', 'timeout=5'),
    ('te', 'trailers'),
    ('proxy-authorization', 'Basic x'),
    ('sardinetrack-result', 'forged'),
)
OWN = (('x-own', 'a, b'), ('accept', 'text/plain'))
SERVER_OWN = (('etag', '"7"'), ('set-cookie', 'a=1'), ('set-cookie', 'b=2'))


@given('side "{name}" of pool "{pool}"')
def start_side(context: Any, name: str, pool: str) -> None:
    context.world.side(name, pool)


@given('side "{name}" of pool "{pool}" is linked')
def start_linked_side(context: Any, name: str, pool: str) -> None:
    context.world.side(name, pool)
    entry = context.world.entries['entry-a']
    context.world.until(lambda: context.world.ready(entry))


@given('an entry')
def start_entry(context: Any) -> None:
    context.world.entry()


@given('"{name}" streams {count:d} events and the terminal')
def stream_whole(context: Any, name: str, count: int) -> None:
    chunks = (*map(event, range(count)), DONE)
    context.world.script(name, Script(headers=EVENTS, chunks=chunks))


@given('"{name}" streams {count:d} events and breaks')
def stream_broken(context: Any, name: str, count: int) -> None:
    chunks = tuple(map(event, range(count)))
    script = Script(headers=EVENTS, chunks=chunks, ends=False)
    context.world.script(name, script)


@given('"{name}" streams {count:d} events, half of one, and breaks')
def stream_half(context: Any, name: str, count: int) -> None:
    chunks = (*map(event, range(count)), HALF)
    script = Script(headers=EVENTS, chunks=chunks, ends=False)
    context.world.script(name, script)


@given('"{name}" streams {count:d} events and ends without a terminal')
def stream_unfinished(context: Any, name: str, count: int) -> None:
    chunks = tuple(map(event, range(count)))
    context.world.script(name, Script(headers=EVENTS, chunks=chunks))


@given('"{name}" answers a completion of {tokens:d} tokens')
def answer_completion(context: Any, name: str, tokens: int) -> None:
    script = Script(headers=JSON, chunks=(usage_body(tokens),))
    context.world.script(name, script)


@given('"{name}" breaks a plain answer')
def break_plain(context: Any, name: str) -> None:
    headers = (*JSON, ('content-length', '100'))
    script = Script(headers=headers, chunks=(b'{"id": ',), ends=False)
    context.world.script(name, script)


@given('whichever side is asked first breaks a plain answer')
def break_first(context: Any) -> None:
    script = Script(headers=JSON, chunks=(b'{"id": ',), ends=False)
    context.shared = deque([script])
    for side in context.world.sides.values():
        side.scripts = context.shared


@given('the next one answers a completion of {tokens:d} tokens')
def answer_second(context: Any, tokens: int) -> None:
    script = Script(headers=JSON, chunks=(usage_body(tokens),))
    context.shared.append(script)


@given('"{name}" answers with status {status:d} and "{text}"')
def answer_service(context: Any, name: str, status: int, text: str) -> None:
    context.world.script(name, service_script(status, text))


@given('"{name}" answers with status {status:d} and ""')
def answer_service_empty(context: Any, name: str, status: int) -> None:
    context.world.script(name, service_script(status, ''))


@given('"{name}" answers HEAD with length {size:d}')
def answer_head(context: Any, name: str, size: int) -> None:
    headers = (('content-length', str(size)),)
    context.world.script(name, Script(headers=headers))


@given('"{name}" answers with headers of its hop and its own')
def answer_headers(context: Any, name: str) -> None:
    context.world.script(name, Script(headers=(*HOP, *SERVER_OWN)))


@given('"{name}" answers {count:d} pieces of {size:d} bytes')
def answer_pieces(context: Any, name: str, count: int, size: int) -> None:
    context.world.script(name, Script(chunks=(b'x' * size,) * count))


@given('"{name}" answers {count:d} pieces of {size:d} bytes and breaks')
def answer_cut(context: Any, name: str, count: int, size: int) -> None:
    script = Script(chunks=(b'x' * size,) * count, ends=False)
    context.world.script(name, script)


@given('"{name}" holds its answer')
def hold_answer(context: Any, name: str) -> None:
    context.world.script(name, Script(hold=True))


@when('a caller asks for a streamed completion')
def ask_streamed(context: Any) -> None:
    context.world.call('POST', COMPLETIONS, completion(stream=True))


@when('a caller asks for a plain completion')
def ask_plain(context: Any) -> None:
    context.asked = completion(stream=False)
    context.world.call('POST', COMPLETIONS, context.asked)


@when('a caller asks for a streamed completion and vanishes while it runs')
def ask_run_and_vanish(context: Any) -> None:
    link = context.world.connect()
    link.request('POST', COMPLETIONS, completion(stream=True))
    side = context.world.sides['side-a']
    context.world.until(lambda: bool(side.bodies))
    link.close()


@when('a caller asks for a streamed completion and vanishes while it waits')
def ask_and_vanish(context: Any) -> None:
    world = context.world
    link = world.connect()
    link.request('POST', COMPLETIONS, completion(stream=True))
    world.until(lambda: world.open_requests() == 1)
    link.close()


@when('a caller asks "{path}" and reads nothing')
def ask_and_sleep(context: Any, path: str) -> None:
    world = context.world
    world.connect().request('GET', path)
    world.until(lambda: world.open_requests() == 1)


@when('a caller sends {method} to "{path}" with body "{body}"')
def call_service(context: Any, method: str, path: str, body: str) -> None:
    context.world.call(method, path, body.encode())


@when('a caller sends {method} to "{path}" with body ""')
def call_service_bare(context: Any, method: str, path: str) -> None:
    context.world.call(method, path)


@when('a caller sends headers of its hop and its own')
def call_with_headers(context: Any) -> None:
    path = '/services/chart-api/charts'
    context.world.call('GET', path, headers=(*HOP, *OWN))


@when('a caller pipelines a completion and a service call')
def pipeline(context: Any) -> None:
    link = context.world.connect()
    link.request('POST', COMPLETIONS, completion(stream=False))
    link.request('GET', '/services/chart-api/charts')
    context.answers = [link.answer(), link.answer()]


@then('the answers are that of the completion and "{text}"')
def check_pipelined(context: Any, text: str) -> None:
    bodies = [answer.body for answer in context.answers]
    assert bodies == [usage_body(40), text.encode()], bodies


@then('the answer has status {status:d} and is whole')
def check_whole(context: Any, status: int) -> None:
    answer = context.world.answer
    assert answer.status == status, answer
    assert answer.whole, answer


@then('the answer is cut')
def check_cut(context: Any) -> None:
    assert not context.world.answer.whole


@then('the answer is cut after {count:d} events and one error "{code}"')
def check_cut_stream(context: Any, count: int, code: str) -> None:
    answer = context.world.answer
    assert not answer.whole
    assert DONE not in answer.body
    *events, last = answer.body.split(b'\n\n')[:-1]
    assert events == [event(number).strip() for number in range(count)]
    assert json.loads(last.removeprefix(b'data: '))['error']['code'] == code


@then('the side was asked about the attempt')
def check_asked(context: Any) -> None:
    side = context.world.sides['side-a']
    context.world.until(lambda: bool(side.asked))


@then("the answer's body holds {count:d} events and the terminal")
def check_events(context: Any, count: int) -> None:
    expected = b''.join(map(event, range(count))) + DONE
    assert context.world.answer.body == expected, context.world.answer.body


@then("the answer's body is that of the completion")
def check_completion(context: Any) -> None:
    body = context.world.answer.body
    assert body == usage_body(40), body


@then('the answer\'s body is "{text}"')
def check_body(context: Any, text: str) -> None:
    assert context.world.answer.body == text.encode()


@then('the answer\'s body is ""')
def check_no_body(context: Any) -> None:
    assert context.world.answer.body == b''


@then("the answer's body has {size:d} bytes")
def check_size(context: Any, size: int) -> None:
    assert context.world.answer.body == b'x' * size


@then('the answer has header "{name}" of "{text}"')
def check_header(context: Any, name: str, text: str) -> None:
    headers = context.world.answer.headers
    assert headers.get(name) == text, headers


@then('the order at "{name}" is a {method} of "{path}"')
def check_order(context: Any, name: str, method: str, path: str) -> None:
    order = context.world.last_order(name)
    assert (order.method, order.path) == (method, path), order


@then('the order at "{name}" is a POST of "{path}" and repeatable')
def check_repeatable(context: Any, name: str, path: str) -> None:
    order = context.world.last_order(name)
    assert (order.method, order.path) == ('POST', path), order
    assert order.idempotent


@then('"{name}" received the body unchanged')
def check_same_body(context: Any, name: str) -> None:
    assert context.world.last_body(name) == context.asked


@then('"{name}" received body "{text}"')
def check_received(context: Any, name: str, text: str) -> None:
    assert context.world.last_body(name) == text.encode()


@then('"{name}" received body ""')
def check_received_nothing(context: Any, name: str) -> None:
    assert context.world.last_body(name) == b''


@then('the order at "{name}" holds the caller\'s own headers alone')
def check_order_headers(context: Any, name: str) -> None:
    pairs = list(context.world.last_order(name).headers)
    request_id = context.world.answer.headers['x-request-id']
    assert sorted(pairs) == sorted([*OWN, ('x-request-id', request_id)]), pairs


@then("the answer holds the server's own headers alone")
def check_answer_headers(context: Any) -> None:
    pairs = context.world.answer.pairs
    framing = {'transfer-encoding', 'content-length', 'x-request-id'}
    own = [pair for pair in pairs if pair[0] not in framing]
    assert own == list(SERVER_OWN), pairs


@then('the second order at "{name}" expects less than the first one')
def check_learned(context: Any, name: str) -> None:
    first, second = context.world.sides[name].orders
    assert second.hint_cost < first.hint_cost


@then('the sides have received {count:d} orders in all')
def check_all_orders(context: Any, count: int) -> None:
    assert context.world.count_orders() == count


@then('the second order tells that it is suspected, the first did not')
def step_suspected(context):
    sides = context.world.sides.values()
    orders = [order for side in sides for order in side.orders]
    assert sorted(order.suspect for order in orders) == [False, True], orders
    assert max(orders, key=lambda order: order.suspect).attempt_id == max(
        order.attempt_id for order in orders
    )


@then('"{name}" sees its connection broken off')
def check_broken_off(context: Any, name: str) -> None:
    side = context.world.sides[name]
    context.world.until(lambda: side.broken_off == 1)


@then('the attempt was settled as "{end}"')
def check_settled(context: Any, end: str) -> None:
    entry = context.world.entries['entry-a']
    text = context.world.operator(entry, '/metrics').body.decode()
    labels = f'{{end="{end}",pool="ice-llm"}}'
    assert f'sardinetrack_entry_attempts_total{labels} 1.0' in text, text


@then('no request is open')
def check_none_open(context: Any) -> None:
    context.world.until(lambda: context.world.open_requests() == 0)


@then('the decision "{sentence}" is logged with')
def check_decision(context: Any, sentence: str) -> None:
    wanted = context.table[0].as_dict()
    lines = context.world.log.documents
    found = [line for line in lines if line['sentence'] == sentence]
    assert len(found) == 1, lines
    context.line = found[0]
    for name, text in wanted.items():
        assert context.line[name] == text, context.line


@then('the line names the request and the attempt that the side received')
def check_ids(context: Any) -> None:
    order = context.world.sides['side-a'].orders[0]
    assert context.line['attempt_id'] == order.attempt_id
    assert context.line['request_id'], context.line
    assert 0 <= context.line['waited_seconds'] < 60
