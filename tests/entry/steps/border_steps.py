"""Steps for the callers' border."""

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
from raw_http import TOKEN_TEXT, Answer, Connection
from samples import COMPLETIONS, JSON, completion

from sardinetrack.errors.api import ErrorKind
from sardinetrack.errors.table import answer_for
from sardinetrack.store.in_process import Disturbance

AUTHORIZED = f'host: entry\r\nauthorization: Bearer {TOKEN_TEXT}\r\n'
SERVICE = f'POST /services/chart-api/x HTTP/1.1\r\n{AUTHORIZED}'
BEHIND = f'GET /services/chart-api/stolen HTTP/1.1\r\n{AUTHORIZED}\r\n'
FOREIGN = 'foreign-token'
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


def _asked(content: Any) -> Any:
    return _call('POST', COMPLETIONS, json.dumps(content).encode())


MESSAGES = ({'role': 'user', 'content': 'x'},)
REQUESTS = MappingProxyType(
    {
        'no token': _call('GET', '/v1/models', token=None),
        'an unknown token': _call('GET', '/v1/models', token=FOREIGN),
        'an unknown path': _call('GET', '/v2/models'),
        'GET for completions': _call('GET', COMPLETIONS),
        'POST for models': _call('POST', '/v1/models', b'{}'),
        'an unknown model': _asked({'model': 'none', 'messages': MESSAGES}),
        'an unknown service': _call('GET', '/services/none/x'),
        'a model pool as a service': _call('GET', '/services/ice-llm/x'),
        'bad JSON': _call('POST', COMPLETIONS, b'{"model": '),
        'no messages': _asked({'model': MODEL}),
        'empty messages': _asked({'model': MODEL, 'messages': []}),
        'messages of a wrong type': _asked({'model': MODEL, 'messages': 'x'}),
        'max_tokens of zero': _asked(
            {'model': MODEL, 'messages': MESSAGES, 'max_tokens': 0},
        ),
        'an empty idempotency key': _call(
            'POST',
            '/services/chart-api/x',
            headers=(('idempotency-key', ''),),
        ),
        'an endless idempotency key': _call(
            'POST',
            '/services/chart-api/x',
            headers=(('idempotency-key', 'k' * 256),),
        ),
        'a body that tells its large size': _raw(
            f'{SERVICE}content-length: {LARGE}\r\n\r\n',
        ),
        'a large body in chunks': _raw(
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
        'an ancient request': _raw('GET /v1/models\r\n\r\n'),
        'an upgrade to another protocol': _raw(
            f'GET /v1/models HTTP/1.1\r\n{AUTHORIZED}'
            'connection: upgrade\r\nupgrade: websocket\r\n\r\n',
        ),
        'a length and a coding': _raw(
            f'{SERVICE}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'
            '0\r\n\r\n',
        ),
        'two different lengths': _raw(
            f'{SERVICE}content-length: 5\r\ncontent-length: 6\r\n\r\nhello',
        ),
        'a coding that is not chunked': _raw(
            f'{SERVICE}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n',
        ),
        'two tokens': _raw(
            f'GET /v1/models HTTP/1.1\r\n{AUTHORIZED}'
            f'authorization: Bearer {FOREIGN}\r\n\r\n',
        ),
        'a broken chunk': _raw(
            f'{SERVICE}transfer-encoding: chunked\r\n\r\nxyz\r\n',
        ),
        'a body in chunks with a trailer': _raw(
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


@given('"{name}" answers plainly')
def answer_plainly(context: Any, name: str) -> None:
    script = Script(headers=JSON, chunks=(b'{"ok": true}',))
    context.world.script(name, script)


@when('a caller presents {request}')
def send(context: Any, request: str) -> None:
    context.world.answer = _send(context, request).answer()


@when('a caller pipelines {request} and another request')
def send_two(context: Any, request: str) -> None:
    link = _send(context, request)
    link.send(BEHIND.encode())
    context.world.answer = link.answer()


@then('the error is {status:d} "{code}" and did not run')
def check_error(context: Any, status: int, code: str) -> None:
    answer = context.world.answer
    assert (answer.status, answer.error['code']) == (status, code), answer
    assert answer.headers['sardinetrack-not-run'] == 'true', answer
    assert answer.error['param'] is None
    assert answer.error['type']


@then('no side has received an order')
def check_no_order(context: Any) -> None:
    for side in context.world.sides.values():
        assert not side.orders, side.orders


@then('the order at "{name}" has no header "{header}"')
def check_no_header(context: Any, name: str, header: str) -> None:
    order = context.world.last_order(name)
    assert header not in dict(order.headers), order


@then('the connection is closed without another answer')
def check_closed(context: Any) -> None:
    link = context.world.connections[-1]
    rest = link.drain()
    assert rest == b'', rest


@when('a caller calls with request id "{name}"')
def call_with_id(context: Any, name: str) -> None:
    headers = (('x-request-id', name),)
    context.asked_id = name
    context.world.call('GET', '/services/chart-api/x', headers=headers)


@when('a caller without a token calls with request id "{name}"')
def call_with_id_only(context: Any, name: str) -> None:
    headers = (('x-request-id', name),)
    context.world.call('GET', '/v1/models', headers=headers, token=None)


@then('the answer has another request id')
def check_new_id(context: Any) -> None:
    given_id = context.world.answer.headers['x-request-id']
    assert given_id and given_id != context.asked_id


@when('a caller gets "{path}"')
def get(context: Any, path: str) -> None:
    context.world.call('GET', path)


@then('the answer lists model "{model}" of "{owner}"')
def check_models(context: Any, model: str, owner: str) -> None:
    content = json.loads(context.world.answer.body)
    assert content['object'] == 'list'
    rows = [(row['id'], row['owned_by']) for row in content['data']]
    assert rows == [(model, owner)], content


@then('the answer describes model "{model}"')
def check_model(context: Any, model: str) -> None:
    content = json.loads(context.world.answer.body)
    assert content['id'] == model and content['object'] == 'model'


@when('a caller without a token sends a body without an end')
def send_endless(context: Any) -> None:
    link = context.world.connect()
    link.send(
        b'POST /services/chart-api/x HTTP/1.1\r\nhost: e\r\n'
        b'content-length: 100000000\r\n\r\nfirst bytes',
    )
    context.world.answer = link.answer()
    link.send_until_broken(b'x' * 1000)


@given('an entry "{name}" that starts while the platform is down')
def an_entry_alone(context, name):
    world = context.world
    world.portal.call(world.platform.disturb, Disturbance(outage=True))
    world.entries[name] = world.start_entry(name)


@when('"{entry}" is asked for "{path}"')
def gets_at(context, entry, path):
    context.world.call('GET', path, entry=entry)


@given('{count:d} idle connections')
def open_idle(context: Any, count: int) -> None:
    context.idle = [context.world.connect() for _ in range(count)]


@then('the oldest idle connection is closed')
def check_oldest(context: Any) -> None:
    assert context.idle[0].drain() == b''


@given('"{name}" holds its answers')
def hold(context: Any, name: str) -> None:
    scripts = context.world.sides[name].scripts
    scripts.clear()
    scripts.append(Script(headers=JSON, chunks=(b'{}',), hold=True))


@given('{count:d} connections that wait for an answer')
def open_waiting(context: Any, count: int) -> None:
    context.waiting = [context.world.connect() for _ in range(count)]
    for link in context.waiting:
        link.request('GET', '/services/chart-api/charts')
    entry = context.world.entries['entry-a']
    context.world.until(
        lambda: context.world.status(entry)['open_requests'] == count,
    )


@when('"{name}" answers what it holds')
def let_go(context: Any, name: str) -> None:
    side = context.world.sides[name]
    context.world.portal.call(side.release.set)


@then('all waiting connections get their whole answers')
def check_waiting(context: Any) -> None:
    answers = [link.answer() for link in context.waiting]
    assert all(one.whole and one.status == 200 for one in answers), answers


@then('no log line holds a token')
def check_log(context: Any) -> None:
    lines = context.world.log.lines
    assert lines
    for line in lines:
        assert TOKEN_TEXT not in line and FOREIGN not in line, line


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


def _is_row(answer: Answer) -> bool:
    if answer.status < 400:
        return True
    kind = ErrorKind(answer.error['code'])
    return answer_for(kind).status == answer.status


@then('every answer was a row of the table and nothing failed inside')
def check_fuzzed(context: Any) -> None:
    assert any(answer.status == 400 for answer in context.fuzzed)
    for answer in context.fuzzed:
        assert _is_row(answer), answer
        assert answer.status != 500, answer
    faults = [line for line in context.world.log.lines if 'fault' in line]
    assert not faults, faults
