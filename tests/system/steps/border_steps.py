"""Steps for clients without credentials at the ports of processes."""

from __future__ import annotations

import json
import socket
import time
from contextlib import ExitStack
from http.client import HTTPException, HTTPResponse
from types import MappingProxyType
from typing import Any

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as generated
from hypothesis import strategies as st

from sardinetrack.errors.api import ErrorKind
from support.caller import Caller, CallerResponse
from support.fleet import PEER_SECRET, PLATFORM_TOKEN, Fleet
from support.standard import (
    SERVICE,
    TOKEN,
    completion,
    daemons,
    start_standard,
    words,
)

_ENTRY = 'entry-a'
_SIDES = ('side-engine-0', 'side-chart-0')
_UNKNOWN_TOKEN = 'foreign-token'
_INVALID_TOKENS = (
    _UNKNOWN_TOKEN,
    PLATFORM_TOKEN,
    f'x{TOKEN}',
    f'{TOKEN}x',
    TOKEN[:-1],
)
_ERROR_CODES = frozenset(kind.value for kind in ErrorKind)
_PEER_CALLS = (
    ('GET', '/peer/v1/status'),
    ('POST', '/peer/v1/run'),
    ('POST', '/peer/v1/attempts/x'),
    ('GET', '/peer/v1/link'),
    ('GET', '/'),
)
_RUN_REQUEST = MappingProxyType(
    {
        'attempt_id': 'a1',
        'incarnation': 'i',
        'entry': _ENTRY,
        'workspace': 'pilot',
        'tag': 0,
        'hint_cost': 1,
        'grant': 0,
        'wait_seconds': 1,
        'idempotent': False,
        'method': 'POST',
        'path': '/stolen',
        'headers': [],
        'fingerprint': '',
    },
)
_HANDSHAKE = (
    ('connection', 'upgrade'),
    ('upgrade', 'websocket'),
    ('sec-websocket-version', '13'),
    ('sec-websocket-key', 'dGhlIHNhbXBsZSBub25jZQ=='),
)
_HELLO = MappingProxyType(
    {
        'instance': 'stranger',
        'role': 'entry',
        'incarnation': 'i',
        'failure_domain': 'galata',
    }
)
_AUTHORIZED = f'host: x\r\nauthorization: Bearer {TOKEN}\r\n'
_SMUGGLED = f'POST /services/{SERVICE}/stolen HTTP/1.1\r\n{_AUTHORIZED}'
_SMUGGLED = f'{_SMUGGLED}x-standin-key: stolen\r\ncontent-length: 0\r\n\r\n'
_POST = f'POST /services/{SERVICE}/open HTTP/1.1\r\n{_AUTHORIZED}'
_CHUNKED = 'transfer-encoding: chunked\r\n'
_AMBIGUOUS = (
    f'{_POST}content-length: 5\r\n{_CHUNKED}\r\n0\r\n\r\n{_SMUGGLED}',
    f'{_POST}{_CHUNKED}content-length: 0\r\n\r\n0\r\n\r\n{_SMUGGLED}',
    f'{_POST}content-length: 0\r\ncontent-length: {{size}}\r\n\r\n{_SMUGGLED}',
    f'{_POST}content-length: 0, {{size}}\r\n\r\n{_SMUGGLED}',
    f'{_POST}content-length: +0\r\n\r\n{_SMUGGLED}',
    f'{_POST}content-length: 0x0\r\n\r\n{_SMUGGLED}',
    f'{_POST}content-length : {{size}}\r\n\r\n{_SMUGGLED}',
    f'{_POST}x: y\r\n content-length: 0\r\n\r\n{_SMUGGLED}',
    f'{_POST}x: y\r\n\tz\r\ncontent-length: {{size}}\r\n\r\n{_SMUGGLED}',
    f'{_POST}transfer-encoding: identity\r\n\r\n{_SMUGGLED}',
    f'{_POST}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n{_SMUGGLED}',
    f'{_POST}transfer-encoding: chunked, x\r\n\r\n0\r\n\r\n{_SMUGGLED}',
    f'{_POST}transfer-encoding:\x0bchunked\r\n\r\n0\r\n\r\n{_SMUGGLED}',
    f'{_POST}{_CHUNKED}\r\n0;x="\r\n\r\n{_SMUGGLED}',
    f'{_POST}{_CHUNKED}\r\n-1\r\n\r\n{_SMUGGLED}',
    f'{_POST}{_CHUNKED}\r\nfffffffffffffffff\r\n\r\n{_SMUGGLED}',
    f'{_POST}{_CHUNKED}\r\n5\r\nabcdeXX0\r\n\r\n{_SMUGGLED}',
    f'{_POST}{_CHUNKED}\n0\n\n{_SMUGGLED}',
    f'{_POST}x: a\rb\r\ncontent-length: {{size}}\r\n\r\n{_SMUGGLED}',
    f'{_POST}x: a\x00b\r\ncontent-length: {{size}}\r\n\r\n{_SMUGGLED}',
)


@given('a small fleet with known secrets')
def given_fleet(context: Any) -> None:
    context.fleet = Fleet()
    start_standard(context.fleet, engines=1)
    context.connections = ExitStack()
    context.add_cleanup(context.connections.close)
    context.responses = []


def _peer_address(context: Any, name: str) -> tuple[str, int]:
    return _address(context.fleet.processes[name].ready['peer_address'])


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition('/')[2].rpartition(':')
    return ip, int(port)


def _exchange(address: tuple[str, int], raw: bytes) -> bytes:
    """Send bytes; read until the server closes or sends nothing for 1.5 s."""
    received = b''
    with socket.create_connection(address, timeout=10) as connection:
        connection.settimeout(1.5)
        try:
            connection.sendall(raw)
            while chunk := connection.recv(65_536):
                received += chunk
        except OSError:
            return received
    return received


@when(
    'clients without the peer secret call every peer endpoint '
    'of the entry and of the sides'
)
def when_peer_calls(context: Any) -> None:
    headers = {'sardinetrack-run': json.dumps(dict(_RUN_REQUEST))}
    for name in (_ENTRY, *_SIDES):
        base = 'http://{}:{}'.format(*_peer_address(context, name))
        for caller in map(Caller, (TOKEN, *_INVALID_TOKENS)):
            for method, path in _PEER_CALLS:
                body = b'{}' if method == 'POST' else None
                response = caller.call(method, f'{base}{path}', body, headers)
                context.responses.append((403, response))


@when(
    "clients call with unknown tokens, other parties' secrets "
    'and another scheme'
)
def when_invalid_tokens(context: Any) -> None:
    url = context.fleet.url(_ENTRY)
    for token in (*_INVALID_TOKENS, PEER_SECRET):
        caller = Caller(token)
        context.responses.append((401, caller.chat(url, completion('x'))))
        scheme = {'authorization': f'Basic {TOKEN}'}
        basic = caller.chat(url, completion('x'), scheme)
        context.responses.append((401, basic))
        for method in ('GET', 'POST'):
            response = caller.call(method, f'{url}/services/{SERVICE}/x')
            context.responses.append((401, response))


@then('each call is rejected in the documented format')
def then_rejected(context: Any) -> None:
    assert context.responses
    for status, response in context.responses:
        assert response.status == status, response
        assert _code(response) in _ERROR_CODES, response


def _code(response: CallerResponse) -> str:
    content = response.json()
    return str(content.get('error', content)['code'])


@then('nothing has run at the stand-ins')
def then_nothing_ran(context: Any) -> None:
    for name in ('engine-0', 'chart-0'):
        assert not _executions(context, name)


def _executions(context: Any, name: str) -> Any:
    url = context.fleet.processes[name].ready['url']
    return Caller('none').call('GET', f'{url}/standin/executions').json()


@then("the peer endpoints can't be reached at the callers' port")
def then_not_there(context: Any) -> None:
    for method, path in _PEER_CALLS:
        url = f'{context.fleet.url(_ENTRY)}{path}'
        response = Caller(TOKEN).call(method, url)
        assert response.status == 404, response
        assert _code(response) == 'unknown_path', response


@when(
    'clients without the peer secret open a control link '
    'to the entry and to the sides'
)
def when_links(context: Any) -> None:
    hello = ('sardinetrack-peer', json.dumps(dict(_HELLO)))
    for name in (_ENTRY, *_SIDES):
        for token in (None, TOKEN, *_INVALID_TOKENS):
            pairs = [('host', 'x'), hello, *_HANDSHAKE]
            if token is not None:
                pairs.append(('authorization', f'Bearer {token}'))
            lines = [f'{key}: {text}' for key, text in pairs]
            head = '\r\n'.join(['GET /peer/v1/link HTTP/1.1', *lines, '', ''])
            address = _peer_address(context, name)
            context.responses.append(_exchange(address, head.encode()))


@then('each link is refused before it opens')
def then_no_link(context: Any) -> None:
    for received in context.responses:
        assert received.startswith(b'HTTP/1.1 403'), received


@when(
    'a caller smuggles a service call inside each kind of ambiguous request',
)
def when_smuggled(context: Any) -> None:
    address = _address(context.fleet.url(_ENTRY))
    for text in _AMBIGUOUS:
        raw = text.replace('{size}', str(len(_SMUGGLED))).encode('latin-1')
        _exchange(address, raw)


@then('the smuggled call has not run at the service')
def then_not_smuggled(context: Any) -> None:
    ran = _executions(context, 'chart-0')
    assert 'stolen' not in ran, ran


@then('the same call runs when it is sent as a request of its own')
def then_runs(context: Any) -> None:
    address = _address(context.fleet.url(_ENTRY))
    _exchange(address, _SMUGGLED.encode())
    assert 'stolen' in _executions(context, 'chart-0')


@when("clients open {count:d} connections to the callers' port")
def when_many(context: Any, count: int) -> None:
    _open_connections(context, _address(context.fleet.url(_ENTRY)), count)


@when("clients open {count:d} connections to the peers' port of a side")
def when_many_peers(context: Any, count: int) -> None:
    _open_connections(context, _peer_address(context, 'side-chart-0'), count)


def _open_connections(
    context: Any, address: tuple[str, int], count: int
) -> None:
    for number in range(count):
        connection = socket.create_connection(address, timeout=10)
        context.connections.enter_context(connection)
        if number % 5 == 0:
            connection.sendall(b'GET / HTTP/1.1\r\nx-slow: ')


_HEADS = st.builds(
    b'%b %b HTTP/1.1\r\n%b\r\n%b'.__mod__,
    st.tuples(
        st.sampled_from((b'GET', b'POST', b'PUT', b'HEAD', b'TRACE', b'x')),
        st.one_of(
            st.sampled_from(
                (b'/v1/chat/completions', b'/peer/v1/run', b'/status', b'*'),
            ),
            st.binary(max_size=20),
        ),
        st.lists(st.binary(max_size=30), max_size=3).map(b'\r\n'.join),
        st.binary(max_size=60),
    ),
)


@when('Hypothesis sends generated bytes to every port')
def when_fuzzed(context: Any) -> None:
    addresses = [_address(context.fleet.url(_ENTRY))]
    for name in (_ENTRY, _SIDES[1]):
        ready = context.fleet.processes[name].ready
        addresses.append(_address(ready['operator_url']))
        addresses.append(_address(ready['peer_address']))

    @settings(
        max_examples=40,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @generated(st.one_of(_HEADS, st.binary(max_size=200)))
    def send(raw: bytes) -> None:
        for address in addresses:
            status = _status(address, raw)
            assert status is None or status < 500, (status, raw)

    send()


def _status(address: tuple[str, int], raw: bytes) -> int | None:
    with socket.create_connection(address, timeout=10) as connection:
        connection.settimeout(5)
        try:
            connection.sendall(raw)
            connection.shutdown(socket.SHUT_WR)
            response = HTTPResponse(connection)
            response.begin()
        except (OSError, HTTPException):
            return None
        return response.status


@then('the fleet serves as before')
def then_serves(context: Any) -> None:
    url = context.fleet.url(_ENTRY)
    caller = Caller(TOKEN)
    response = caller.chat(url, completion('after'))
    assert response.status == 200, response
    text = response.json()['choices'][0]['message']['content']
    assert text.split() == words('after'), text
    served = caller.call('GET', f'{url}/services/{SERVICE}/after')
    assert served.status == 200, served
    for name in daemons(context.fleet):
        assert context.fleet.processes[name].running, name


@then('no process has logged a traceback')
def then_no_traceback(context: Any) -> None:
    for process in context.fleet.processes.values():
        text = process.log_path.read_text(errors='replace')
        assert 'Traceback' not in text, text[-3000:]


@when('callers with valid and invalid tokens have called')
def when_called(context: Any) -> None:
    url = context.fleet.url(_ENTRY)
    for token in (TOKEN, _UNKNOWN_TOKEN):
        Caller(token).chat(url, completion('x'))
        Caller(token).call('GET', f'{url}/services/{SERVICE}/x')
        address = _peer_address(context, 'side-chart-0')
        peer = 'http://{}:{}/peer/v1/run'.format(*address)
        Caller(token).call('POST', peer, b'{}')
    _exchange(_address(url), f'bad {TOKEN}\r\n\r\n'.encode())
    time.sleep(0.5)


@then("no page of an operator's port contains a secret")
def then_no_page(context: Any) -> None:
    for name in daemons(context.fleet):
        for page in ('/config', '/status', '/metrics', '/healthz', '/readyz'):
            response = context.fleet.operator(name, page)
            assert response.status == 200, response
            _check_secrets(response.body.decode())


@then('no log line contains a secret')
def then_no_line(context: Any) -> None:
    for process in context.fleet.processes.values():
        _check_secrets(process.log_path.read_text(errors='replace'))


def _check_secrets(text: str) -> None:
    for secret in (TOKEN, _UNKNOWN_TOKEN, PEER_SECRET, PLATFORM_TOKEN):
        assert secret not in text, text
