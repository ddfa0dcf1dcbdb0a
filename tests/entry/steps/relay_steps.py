"""Steps for responses that are relayed."""

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
HOP_BY_HOP = (
    ('connection', 'keep-alive, x-hop'),
    ('x-hop', '1'),
    ('keep-alive', 'timeout=5'),
    ('te', 'trailers'),
    ('proxy-authorization', 'Basic x'),
    ('sardinetrack-result', 'forged'),
)
CALLER_HEADERS = (('x-own', 'a, b'), ('accept', 'text/plain'))
SERVER_HEADERS = (('etag', '"7"'), ('set-cookie', 'a=1'), ('set-cookie', 'b=2'))


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


@given('"{name}" streams {count:d} events and the end event')
def stream_whole(context: Any, name: str, count: int) -> None:
    chunks = (*map(event, range(count)), DONE)
    context.world.script(name, Script(headers=EVENTS, chunks=chunks))


@given('"{name}" streams {count:d} events and the end event, then again {how}')
def stream_twice(context: Any, name: str, count: int, how: str) -> None:
    chunks = (*map(event, range(count)), DONE)
    script = {
        'as a whole': Script(chunks=(*chunks, *chunks)),
        'at once': Script(chunks=(b''.join((*chunks, *chunks)),)),
        'until a break': Script(chunks=(*chunks, chunks[0]), ends=False),
    }[how]
    script.headers = EVENTS
    context.world.script(name, script)


@given('"{name}" streams 3 events, the second with a line "[DONE]"')
def stream_marker_line(context: Any, name: str) -> None:
    marked = b'data: ice\ndata: [DONE]\ndata: more\n\n'
    context.chunks = (event(0), marked, event(1), DONE)
    script = Script(headers=EVENTS, chunks=context.chunks)
    context.world.script(name, script)


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


@given('"{name}" streams {count:d} events and ends without the end event')
def stream_unfinished(context: Any, name: str, count: int) -> None:
    chunks = tuple(map(event, range(count)))
    context.world.script(name, Script(headers=EVENTS, chunks=chunks))


@given('"{name}" returns a completion of {tokens:d} tokens')
def answer_completion(context: Any, name: str, tokens: int) -> None:
    script = Script(headers=JSON, chunks=(usage_body(tokens),))
    context.world.script(name, script)


@given('"{name}" breaks a non-streamed response')
def break_plain(context: Any, name: str) -> None:
    headers = (*JSON, ('content-length', '100'))
    script = Script(headers=headers, chunks=(b'{"id": ',), ends=False)
    context.world.script(name, script)


@given('the first side that is used breaks a non-streamed response')
def break_first(context: Any) -> None:
    script = Script(headers=JSON, chunks=(b'{"id": ',), ends=False)
    context.shared_scripts = deque([script])
    for side in context.world.sides.values():
        side.scripts = context.shared_scripts


@given('the next one returns a completion of {tokens:d} tokens')
def answer_second(context: Any, tokens: int) -> None:
    script = Script(headers=JSON, chunks=(usage_body(tokens),))
    context.shared_scripts.append(script)


@given('"{name}" returns status {status:d} and "{text}"')
def answer_service(context: Any, name: str, status: int, text: str) -> None:
    context.world.script(name, service_script(status, text))


@given('"{name}" returns status {status:d} and ""')
def answer_service_empty(context: Any, name: str, status: int) -> None:
    context.world.script(name, service_script(status, ''))


@given('"{name}" responds to HEAD with length {size:d}')
def answer_head(context: Any, name: str, size: int) -> None:
    headers = (('content-length', str(size)),)
    context.world.script(name, Script(headers=headers))


@given('"{name}" returns hop-by-hop and end-to-end headers')
def answer_headers(context: Any, name: str) -> None:
    context.world.script(name, Script(headers=(*HOP_BY_HOP, *SERVER_HEADERS)))


@given('"{name}" returns {count:d} chunks of {size:d} bytes')
def answer_pieces(context: Any, name: str, count: int, size: int) -> None:
    context.world.script(name, Script(chunks=(b'x' * size,) * count))


@given('"{name}" returns {count:d} chunks of {size:d} bytes and breaks')
def answer_truncated(context: Any, name: str, count: int, size: int) -> None:
    script = Script(chunks=(b'x' * size,) * count, ends=False)
    context.world.script(name, script)


@given('"{name}" delays an empty response')
def delay_empty(context: Any, name: str) -> None:
    context.world.script(name, Script(delayed=True))


@when('a caller requests a streamed completion')
def request_streamed(context: Any) -> None:
    context.world.call('POST', COMPLETIONS, completion(stream=True))


@when('a caller requests a non-streamed completion')
def request_plain(context: Any) -> None:
    context.sent_body = completion(stream=False)
    context.world.call('POST', COMPLETIONS, context.sent_body)


@when('a caller requests a streamed completion and disconnects while it runs')
def request_run_and_disconnect(context: Any) -> None:
    link = context.world.connect()
    link.request('POST', COMPLETIONS, completion(stream=True))
    side = context.world.sides['side-a']
    context.world.until(lambda: bool(side.bodies))
    link.close()


@when('a caller requests a streamed completion and disconnects while it waits')
def request_wait_and_disconnect(context: Any) -> None:
    world = context.world
    link = world.connect()
    link.request('POST', COMPLETIONS, completion(stream=True))
    world.until(lambda: world.open_requests() == 1)
    link.close()


@when('a caller requests "{path}" and reads nothing')
def request_and_not_read(context: Any, path: str) -> None:
    world = context.world
    world.connect().request('GET', path)
    world.until(lambda: world.open_requests() == 1)


@when('a caller sends {method} to "{path}" with body "{body}"')
def call_service(context: Any, method: str, path: str, body: str) -> None:
    context.world.call(method, path, body.encode())


@when('a caller sends {method} to "{path}" with body ""')
def call_service_bare(context: Any, method: str, path: str) -> None:
    context.world.call(method, path)


@when('a caller sends hop-by-hop and end-to-end headers')
def call_with_headers(context: Any) -> None:
    path = '/services/chart-api/charts'
    context.world.call('GET', path, headers=(*HOP_BY_HOP, *CALLER_HEADERS))


@when('a caller pipelines a completion and a service call')
def pipeline(context: Any) -> None:
    link = context.world.connect()
    link.request('POST', COMPLETIONS, completion(stream=False))
    link.request('GET', '/services/chart-api/charts')
    context.responses = [link.read_response(), link.read_response()]


@then('the responses are the completion and "{text}"')
def check_pipelined(context: Any, text: str) -> None:
    bodies = [response.body for response in context.responses]
    assert bodies == [usage_body(40), text.encode()], bodies


@then('the response has status {status:d} and is complete')
def check_whole(context: Any, status: int) -> None:
    response = context.world.response
    assert response.status == status, response
    assert response.complete, response


@then('the response is truncated')
def check_truncated(context: Any) -> None:
    assert not context.world.response.complete


@then('the response is truncated after {count:d} events and one error "{code}"')
def check_truncated_stream(context: Any, count: int, code: str) -> None:
    response = context.world.response
    assert not response.complete
    assert DONE not in response.body
    *events, last = response.body.split(b'\n\n')[:-1]
    assert events == [event(number).strip() for number in range(count)]
    assert json.loads(last.removeprefix(b'data: '))['error']['code'] == code


@then('the side has received a status query')
def check_queried(context: Any) -> None:
    side = context.world.sides['side-a']
    context.world.until(lambda: bool(side.status_queries))


@then('the response body is {count:d} events and the end event')
def check_events(context: Any, count: int) -> None:
    expected = b''.join(map(event, range(count))) + DONE
    assert context.world.response.body == expected, context.world.response.body


@then('the response body is what "{name}" streamed')
def check_streamed(context: Any, name: str) -> None:
    body = context.world.response.body
    assert body == b''.join(context.chunks), body


@then('the response body is the completion')
def check_completion(context: Any) -> None:
    body = context.world.response.body
    assert body == usage_body(40), body


@then('the response body is "{text}"')
def check_body(context: Any, text: str) -> None:
    assert context.world.response.body == text.encode()


@then('the response body is ""')
def check_no_body(context: Any) -> None:
    assert context.world.response.body == b''


@then('the response body has {size:d} bytes')
def check_size(context: Any, size: int) -> None:
    assert context.world.response.body == b'x' * size


@then('the response has header "{name}" with value "{text}"')
def check_header(context: Any, name: str, text: str) -> None:
    headers = context.world.response.headers
    assert headers.get(name) == text, headers


@then('the run request at "{name}" is a {method} of "{path}"')
def check_order(context: Any, name: str, method: str, path: str) -> None:
    run_request = context.world.last_run_request(name)
    assert (run_request.method, run_request.path) == (method, path), run_request


@then('the run request at "{name}" is a POST of "{path}" and repeatable')
def check_repeatable(context: Any, name: str, path: str) -> None:
    run_request = context.world.last_run_request(name)
    assert (run_request.method, run_request.path) == ('POST', path), run_request
    assert run_request.idempotent


@then('"{name}" received the body unchanged')
def check_same_body(context: Any, name: str) -> None:
    assert context.world.last_body(name) == context.sent_body


@then('"{name}" received body "{text}"')
def check_received(context: Any, name: str, text: str) -> None:
    assert context.world.last_body(name) == text.encode()


@then('"{name}" received body ""')
def check_received_nothing(context: Any, name: str) -> None:
    assert context.world.last_body(name) == b''


@then('the run request at "{name}" has only the caller\'s end-to-end headers')
def check_order_headers(context: Any, name: str) -> None:
    pairs = list(context.world.last_run_request(name).headers)
    request_id = context.world.response.headers['x-request-id']
    assert sorted(pairs) == sorted(
        [*CALLER_HEADERS, ('x-request-id', request_id)]
    ), pairs


@then("the response has only the server's end-to-end headers")
def check_answer_headers(context: Any) -> None:
    pairs = context.world.response.pairs
    framing = {'transfer-encoding', 'content-length', 'x-request-id'}
    own = [pair for pair in pairs if pair[0] not in framing]
    assert own == list(SERVER_HEADERS), pairs


@then('the second run request at "{name}" has a lower estimated cost')
def check_estimate(context: Any, name: str) -> None:
    first, second = context.world.sides[name].run_requests
    assert second.hint_cost < first.hint_cost


@then('the sides have received {count:d} run requests in total')
def check_all_orders(context: Any, count: int) -> None:
    assert context.world.count_run_requests() == count


@then('the second run request is marked as suspect and the first is not')
def step_suspected(context):
    sides = context.world.sides.values()
    run_requests = [
        run_request for side in sides for run_request in side.run_requests
    ]
    assert sorted(run_request.suspect for run_request in run_requests) == [
        False,
        True,
    ], run_requests
    assert max(
        run_requests, key=lambda run_request: run_request.suspect
    ).attempt_id == max(run_request.attempt_id for run_request in run_requests)


@then('"{name}" sees its connection closed')
def check_closed(context: Any, name: str) -> None:
    side = context.world.sides[name]
    context.world.until(lambda: side.disconnects == 1)


@then('the attempt ended as "{end}"')
def check_outcome(context: Any, end: str) -> None:
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
    run_request = context.world.sides['side-a'].run_requests[0]
    assert context.line['attempt_id'] == run_request.attempt_id
    assert context.line['request_id'], context.line
    assert 0 <= context.line['waited_seconds'] < 60
