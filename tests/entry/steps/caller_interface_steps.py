"""Steps for the callers' HTTP interface."""

from __future__ import annotations

import json
from types import MappingProxyType
from typing import Any

from behave import given, then, when
from entry_world import BOUNDS, MODEL
from fake_side import Script
from hypothesis import HealthCheck, settings
from hypothesis import given as drawn
from hypothesis import strategies as st
from raw_http import TOKEN_TEXT, Connection, Response
from samples import COMPLETIONS, JSON, completion

from sardinetrack.errors.api import ErrorKind
from sardinetrack.errors.table import error_response_for
from sardinetrack.store.in_process import InjectedFaults

AUTHORIZED = f'host: entry\r\nauthorization: Bearer {TOKEN_TEXT}\r\n'
SERVICE = f'POST /services/chart-api/x HTTP/1.1\r\n{AUTHORIZED}'
SECOND_REQUEST = f'GET /services/chart-api/stolen HTTP/1.1\r\n{AUTHORIZED}\r\n'
UNKNOWN_TOKEN = 'foreign-token'
LARGE = BOUNDS.max_body_bytes + 1
PAYLOAD = 'x' * LARGE
CHUNK = f'{LARGE:x}\r\n{PAYLOAD}\r\n0\r\n\r\n'
LONG = 'x' * 40_000
ENDLESS = 'x' * 70_000
MANY = ''.join('x: 1\r\n' for _ in range(200))


def _call(method: str, path: str, body: bytes = b'', **named: Any) -> Any:
    return lambda link: link.request(method, path, body, **named)


def _raw(text: str) -> Any:
    return lambda link: link.send(text.encode('latin-1'))


def _complete(content: Any, **named: Any) -> Any:
    body = json.dumps(content).encode()
    return _call('POST', COMPLETIONS, body, **named)


MESSAGES = ({'role': 'user', 'content': 'x'},)
REQUESTS = MappingProxyType(
    {
        'no token': _call('GET', '/v1/models', token=None),
        'an unknown token': _call('GET', '/v1/models', token=UNKNOWN_TOKEN),
        'an unknown path': _call('GET', '/v2/models'),
        'GET for completions': _call('GET', COMPLETIONS),
        'POST for models': _call('POST', '/v1/models', b'{}'),
        'an unknown model': _complete({'model': 'none', 'messages': MESSAGES}),
        'an unknown service': _call('GET', '/services/none/x'),
        'a model pool as a service': _call('GET', '/services/ice-llm/x'),
        'bad JSON': _call('POST', COMPLETIONS, b'{"model": '),
        'no messages': _complete({'model': MODEL}),
        'empty messages': _complete({'model': MODEL, 'messages': []}),
        'messages of a wrong type': _complete(
            {'model': MODEL, 'messages': 'x'}
        ),
        'max_tokens of zero': _complete(
            {'model': MODEL, 'messages': MESSAGES, 'max_tokens': 0},
        ),
        'an empty idempotency key': _call(
            'POST',
            '/services/chart-api/x',
            headers=(('idempotency-key', ''),),
        ),
        'a completion that continues a stream': _complete(
            {'model': MODEL, 'messages': MESSAGES},
            headers=(('last-event-id', '7'),),
        ),
        'an idempotency key that is too long': _call(
            'POST',
            '/services/chart-api/x',
            headers=(('idempotency-key', 'k' * 256),),
        ),
        'a body that declares too large a size': _raw(
            f'{SERVICE}content-length: {LARGE}\r\n\r\n',
        ),
        'a chunked body that is too large': _raw(
            f'{SERVICE}transfer-encoding: chunked\r\n\r\n{CHUNK}',
        ),
        'a body too large for the pool': _call(
            'POST',
            '/services/chart-api/x',
            b'x' * 60_000,
        ),
        'a body that stops half-way': _raw(
            f'{SERVICE}content-length: 10\r\n\r\nhalf',
        ),
        'a head that stops half-way': _raw(
            'GET /v1/models HTTP/1.1\r\nhost: e'
        ),
        'a head with one large header': _raw(
            f'{SERVICE}x-large: {LONG}\r\n\r\n',
        ),
        'a head with many headers': _raw(f'{SERVICE}{MANY}\r\n'),
        'a head that never ends': _raw(f'{SERVICE}x-large: {ENDLESS}'),
        'a broken request line': _raw('GET /v1 models HTTP/1.1\r\n\r\n'),
        'an HTTP/0.9 request': _raw('GET /v1/models\r\n\r\n'),
        'an upgrade to another protocol': _raw(
            f'GET /v1/models HTTP/1.1\r\n{AUTHORIZED}'
            'connection: upgrade\r\nupgrade: websocket\r\n\r\n',
        ),
        'content-length and transfer-encoding': _raw(
            f'{SERVICE}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'
            '0\r\n\r\n',
        ),
        'two different content-lengths': _raw(
            f'{SERVICE}content-length: 5\r\ncontent-length: 6\r\n\r\nhello',
        ),
        'a transfer-encoding that is not chunked': _raw(
            f'{SERVICE}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n',
        ),
        'two tokens': _raw(
            f'GET /v1/models HTTP/1.1\r\n{AUTHORIZED}'
            f'authorization: Bearer {UNKNOWN_TOKEN}\r\n\r\n',
        ),
        'a broken chunk': _raw(
            f'{SERVICE}transfer-encoding: chunked\r\n\r\nxyz\r\n',
        ),
        'a chunked body with a trailer': _raw(
            f'{SERVICE}transfer-encoding: chunked\r\n\r\n'
            '2\r\nhi\r\n0\r\nx-late: 1\r\n\r\n',
        ),
    }
)


def _send(context: Any, request: str) -> Connection:
    link = context.world.connect()
    context.link = link
    REQUESTS[request](link)
    return link


@given('"{name}" returns a JSON response')
def return_json(context: Any, name: str) -> None:
    script = Script(headers=JSON, chunks=(b'{"ok": true}',))
    context.world.script(name, script)


@when('a caller submits {request}')
def send(context: Any, request: str) -> None:
    context.world.response = _send(context, request).read_response()


@when('a caller pipelines {request} and another request')
def send_two(context: Any, request: str) -> None:
    link = _send(context, request)
    link.send(SECOND_REQUEST.encode())
    context.world.response = link.read_response()


@then('the error is {status:d} "{code}" and the request did not run')
def check_error(context: Any, status: int, code: str) -> None:
    response = context.world.response
    assert (response.status, response.error['code']) == (status, code), response
    assert response.headers['sardinetrack-not-run'] == 'true', response
    assert response.error['param'] is None
    assert response.error['type']


@then('no side has received a run request')
def check_no_order(context: Any) -> None:
    for side in context.world.sides.values():
        assert not side.run_requests, side.run_requests


@then('the run request at "{name}" has no header "{header}"')
def check_no_header(context: Any, name: str, header: str) -> None:
    run_request = context.world.last_run_request(name)
    assert header not in dict(run_request.headers), run_request


@then('the connection is closed without another response')
def check_closed(context: Any) -> None:
    link = context.world.connections[-1]
    rest = link.drain()
    assert rest == b'', rest


@when('a caller calls with request id "{name}"')
def call_with_id(context: Any, name: str) -> None:
    headers = (('x-request-id', name),)
    context.sent_id = name
    context.world.call('GET', '/services/chart-api/x', headers=headers)


@when('a caller without a token calls with request id "{name}"')
def call_with_id_only(context: Any, name: str) -> None:
    headers = (('x-request-id', name),)
    context.world.call('GET', '/v1/models', headers=headers, token=None)


@then('the response has another request id')
def check_new_id(context: Any) -> None:
    given_id = context.world.response.headers['x-request-id']
    assert given_id and given_id != context.sent_id


@when('a caller gets "{path}"')
def get(context: Any, path: str) -> None:
    context.world.call('GET', path)


@then('the response lists model "{model}" owned by "{owner}"')
def check_models(context: Any, model: str, owner: str) -> None:
    content = json.loads(context.world.response.body)
    assert content['object'] == 'list'
    rows = [(row['id'], row['owned_by']) for row in content['data']]
    assert rows == [(model, owner)], content


@then('the response describes model "{model}"')
def check_model(context: Any, model: str) -> None:
    content = json.loads(context.world.response.body)
    assert content['id'] == model and content['object'] == 'model'


@when('a caller without a token sends an endless body')
def send_endless(context: Any) -> None:
    link = context.world.connect()
    link.send(
        b'POST /services/chart-api/x HTTP/1.1\r\nhost: e\r\n'
        b'content-length: 100000000\r\n\r\nfirst bytes',
    )
    context.world.response = link.read_response()
    link.send_until_broken(b'x' * 1000)


@given('an entry "{name}" that starts while the platform is down')
def start_entry_alone(context, name):
    world = context.world
    world.portal.call(world.platform.apply_faults, InjectedFaults(outage=True))
    world.entries[name] = world.start_entry(name)


@when('"{entry}" receives a GET of "{path}"')
def send_get_to(context, entry, path):
    context.world.call('GET', path, entry=entry)


@given('{count:d} idle connections')
def open_idle(context: Any, count: int) -> None:
    context.idle = [context.world.connect() for _ in range(count)]


@then('the oldest idle connection is closed')
def check_oldest(context: Any) -> None:
    assert context.idle[0].drain() == b''


@given('"{name}" delays its responses')
def delay(context: Any, name: str) -> None:
    scripts = context.world.sides[name].scripts
    scripts.clear()
    scripts.append(Script(headers=JSON, chunks=(b'{}',), delayed=True))


@given('{count:d} connections that wait for a response')
def open_waiting(context: Any, count: int) -> None:
    context.waiting = [context.world.connect() for _ in range(count)]
    for link in context.waiting:
        link.request('GET', '/services/chart-api/charts')
    entry = context.world.entries['entry-a']
    context.world.until(
        lambda: context.world.status(entry)['open_requests'] == count,
    )


@when('"{name}" sends its delayed responses')
def send_delayed(context: Any, name: str) -> None:
    side = context.world.sides[name]
    context.world.portal.call(side.release.set)


@then('all waiting connections get complete responses')
def check_waiting(context: Any) -> None:
    responses = [link.read_response() for link in context.waiting]
    assert all(one.complete and one.status == 200 for one in responses), (
        responses
    )


@then('no log line contains a token')
def check_log(context: Any) -> None:
    lines = context.world.log.lines
    assert lines
    for line in lines:
        assert TOKEN_TEXT not in line and UNKNOWN_TOKEN not in line, line


_PIECES = st.one_of(
    st.sampled_from(
        [
            b'GET ',
            b'POST ',
            b'/v1/models',
            COMPLETIONS.encode(),
            b'/',
            b'%',
            b'/services/chart-api/',
            b' HTTP/1.1\r\n',
            b' HTTP/1.0\r\n',
            AUTHORIZED.encode(),
            b'content-length: 3\r\n',
            b'\r\n',
            b'\n',
            b'content-length: -1\r\n',
            b'transfer-encoding: chunked\r\n',
            b'expect: 100-continue\r\n',
            b'connection: close\r\n',
            b'idempotency-key: k\r\n',
            b'x-request-id: \xff\r\n',
            b'{}\r\n\r\n',
            b'3\r\n{}\r\n\r\n0\r\n\r\n',
            completion(stream=False),
            b'\x00',
            b'?a=b#c',
            b'//..//',
            b': ',
            b'x',
            b'\xc3\xa9',
            b'{"model": 1}',
            b'[' * 5000,
            b'{"model": "ice-1", "messages": [{}]}',
        ],
    ),
    st.binary(max_size=20),
)
_HEADS = st.sampled_from(
    [
        b'',
        SERVICE.encode(),
        f'POST {COMPLETIONS} HTTP/1.1\r\n{AUTHORIZED}'.encode(),
        f'GET /v1/models HTTP/1.1\r\n{AUTHORIZED}'.encode(),
    ],
)


@when('hypothesis sends mutated requests')
def fuzz(context: Any) -> None:
    context.fuzzed = []

    # Hypothesis derives its examples from the source of this function: a
    # reworded one draws others, perhaps without a successful request.
    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(_HEADS, st.lists(_PIECES, max_size=12))
    def one(head: bytes, pieces: list[bytes]) -> None:
        link = context.world.connect()
        link.send_quietly(head + b''.join(pieces))
        link.end()
        context.fuzzed.extend(link.answers())
        link.close()
        context.world.connections.remove(link)

    one()


def _is_defined(response: Response) -> bool:
    if response.status < 400:
        return True
    kind = ErrorKind(response.error['code'])
    return error_response_for(kind).status == response.status


@then('every error is a defined one and none is internal')
def check_fuzzed(context: Any) -> None:
    assert any(response.status == 400 for response in context.fuzzed)
    for response in context.fuzzed:
        assert _is_defined(response), response
        assert response.status != 500, response
    errors = [
        line
        for line in context.world.log.lines
        if 'unhandled exception' in line
    ]
    assert not errors, errors
