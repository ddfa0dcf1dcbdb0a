"""Steps for the translation between the platform and sardinetrack."""

from __future__ import annotations

import json
import os
import re
import tempfile
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from tests.support.example_settings import SETTINGS

from sardinetrack.compose.store_view import PlatformObjectDecoder
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.logs.events import EventLog
from sardinetrack.platform.catalogue import decode_configuration
from sardinetrack.platform.errors import TranslationError
from sardinetrack.platform.protocol_adapter import PlatformProtocolAdapter
from sardinetrack.platform.settings import read_settings
from sardinetrack.relay.api import AttemptContext, KvSource
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.feed_listeners import ConfigurationListener
from sardinetrack.store.api import StoredObject
from sardinetrack.topology.configuration import RouteKind
from sardinetrack.topology.servers import BackendServer

_SOURCE = Path(__file__).parents[3] / 'src' / 'sardinetrack'
# Servers send it on both data paths.
_SHARED_NAME = 'side/response_observer.py: server-leaving'
_PLATFORM_NAMES = re.compile(
    r'x-sardinetrack-|/v1/(readyz|report|objects|hold|kv-)|SARDINETRACK_BOOT|'
    'kvCapacity|pathPrefix|weightedServices|streamResume|sessionAffinity|'
    'maxAttempts|apiKeys|healthPath|warmupLeftMs|internalPortRange|'
    'listenAddresses|nodeName|server-leaving|kv-from|kvHandle|handleTtlS',
    re.IGNORECASE,
)
_ALLOWED_PACKAGES = ('platform', 'standin')
_CONFIGURATION = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'Ficu95.example',
                'pathPrefix': '/lohu/',
                'type': 'streaming',
                'timeoutMs': 15000,
                'targetLatencyMs': 1000,
                'priority': 1,
                'weightedServices': [
                    {'service': 'models', 'weight': 90},
                    {'service': 'plain', 'weight': 10},
                ],
                'maxAttempts': 2,
                'anonymous': False,
                'sessionAffinity': True,
                'streamResume': True,
                'targetGapMs': 300,
            },
            {
                'name': 'r-2',
                'host': 'ficu95.example',
                'pathPrefix': '/lohu/more/',
                'type': 'non_idempotent',
                'timeoutMs': 800,
                'service': 'plain',
                'maxAttempts': 1,
                'anonymous': True,
            },
        ],
        'services': [
            {
                'name': 'models',
                'healthPath': '/healthz',
                'maxConnections': 370,
                'engine': {
                    'slots': 64,
                    'kvCapacity': 582039,
                    'models': [],
                    'moves': True,
                    'handleTtlS': 4,
                },
            },
            {'name': 'plain', 'maxConnections': 110, 'unknown': 1},
        ],
        'limits': {'maxHeaderBytes': 16384, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'hule', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
    }
)
_HEAD = (
    (b'host', b'Ficu95.example'),
    (b'x-sardinetrack-request-id', b'9c41'),
    (b'last-event-id', b'12'),
    (b'x-sardinetrack-model', b'm'),
    (b'x-sardinetrack-token-count', b'1460,80'),
    (b'x-sardinetrack-prefix-hash', b'5c:800,91:410,e4:250'),
    (b'x-sardinetrack-deadline-ms', b'15000'),
    (b'authorization', b'Bearer secret-key'),
    (b'connection', b'keep-alive'),
    (b'x-other', b'kept'),
)


@given("the operator's example configuration")
def example_configuration(context):
    context.document = json.loads(json.dumps(dict(_CONFIGURATION)))


@when('its {field} becomes {content}')
def change_field(context, field, content):
    target = context.document
    if field == 'route type':
        target, field = context.document['routes'][0], 'type'
    target[field] = json.loads(content)


@when('its tenants become {content}')
def change_tenants(context, content):
    context.document.pop('tenants')
    if content != 'nothing':
        context.document['tenants'] = json.loads(content)


@then('requests {need} a key')
def need_key(context, need):
    decoded = decode_configuration(json.dumps(context.document).encode())
    assert (decoded.workspaces is not None) is (need == 'need')
    assert not decoded.workspaces


@then('its routes, pools, workspaces and limits are translated')
def is_translated(context):
    decoded = decode_configuration(json.dumps(context.document).encode())
    route = decoded.routes['ficu95.example'][1]
    assert route.kind is RouteKind.STREAMING
    assert (route.timeout_seconds, route.first_event_objective_seconds) == (
        15,
        1,
    )
    assert [one.weight for one in route.pools] == [90, 10]
    assert route.repeatable
    assert decoded.pools['models'].runs_models
    assert decoded.pools['models'].memory_tokens == 582039
    assert decoded.pools['models'].moves
    assert decoded.pools['models'].copy_retention_seconds == 4
    assert not decoded.pools['plain'].runs_models
    assert not decoded.pools['plain'].moves
    assert decoded.workspaces['k2'].name == 'hule'
    assert decoded.limits.idle_timeout_seconds == 15


@then('a path under two prefixes matches the longer one')
def longest_prefix_matches(context):
    decoded = decode_configuration(json.dumps(context.document).encode())
    assert decoded.route('ficu95.example', '/lohu/more/x').name == 'r-2'
    assert decoded.route('ficu95.example', '/lohu/mor').name == 'r-1'


@then('a path under no prefix has no route')
def no_route(context):
    decoded = decode_configuration(json.dumps(context.document).encode())
    assert decoded.route('ficu95.example', '/other/') is None
    assert decoded.route('other.example', '/lohu/') is None


@then('it is refused, and the message names {named}')
def config_refused(context, named):
    try:
        decode_configuration(json.dumps(context.document).encode())
    except TranslationError as error:
        assert named in str(error), error
        return
    raise AssertionError('it was accepted')


@given('a fleet with active version {version:d}')
def open_fleet(context, version):
    pipe = os.pipe()
    context.log_read = pipe[0]
    context.log = EventLog(pipe[1], 'entry-1')
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.toml'
        path.write_text(SETTINGS)
        settings = read_settings(path)
    context.state = EntryState(settings, context.log)
    context.follower = ConfigurationListener(
        context.state,
        PlatformObjectDecoder(),
    )
    _receive(context, version)


def _receive(context, version):
    spec = json.dumps({**_CONFIGURATION, 'version': version}).encode()
    context.follower.changed(StoredObject('config/main', version, spec))


_UNTRANSLATABLE = MappingProxyType(
    {
        'it has no routes': (b'{"version":9}', 'routes'),
        'it holds half of a surrogate pair': (
            b'{"version":9,"x":"\\ud83d"}',
            'truncated',
        ),
        'it is nested 1200 deep': (
            b'{"x":%b%b}' % (b'[' * 1200, b']' * 1200),
            'recursion',
        ),
        'it is not UTF-8': (
            b'{"version":9,"routes":[{"name":"\xff"}]}',
            'UTF-8',
        ),
    }
)


@when("a configuration arrives that can't be translated, because {case}")
def receive_invalid(context, case):
    content, cause = _UNTRANSLATABLE[case]
    context.cause = cause
    context.follower.changed(StoredObject('config/main', 9, content))


@when('version {version:d} arrives late')
def receive_late(context, version):
    _receive(context, version)


@then('version {version:d} is active')
def is_active(context, version):
    assert context.state.configuration.version == version


@then(
    'version {version:d} is active'
    ' and a log line explains why the other is not',
)
def is_active_and_logged(context, version):
    is_active(context, version)
    context.log.flush()
    lines = os.read(context.log_read, 100_000).splitlines()
    last = json.loads(lines[-1])
    assert last['event'] == 'config_refused'
    assert context.cause in last['cause'], last['cause']


@given('a request as a client of the platform sends it')
def client_request(context):
    context.adapter = PlatformProtocolAdapter()
    context.call = context.adapter.parse_request(
        b'POST', b'/lohu/1?q=2', _HEAD, 5
    )
    context.call.body = b'body'


@given(
    'a request with an id of {length:d} characters'
    ' and {count:d} parts of {tokens:d} tokens'
)
def very_long_head(context, length, count, tokens):
    context.sent_id = b'i' * length
    parts = b','.join(b'%x:%d' % (one, tokens) for one in range(count))
    head = (
        (b'host', b'h'),
        (b'x-sardinetrack-request-id', context.sent_id),
        (b'x-sardinetrack-token-count', b'%d,1' % (count * tokens)),
        (b'x-sardinetrack-prefix-hash', parts),
    )
    context.adapter = PlatformProtocolAdapter()
    context.call = context.adapter.parse_request(b'POST', b'/', head, 0)


@then(
    'its id is {length:d} characters long at most, and it has {count:d} parts'
)
def bounded_head(context, length, count):
    assert len(context.call.request_id) <= length
    assert len(context.call.prompt.blocks) == count


@then('its parts have {tokens:d} tokens together')
def tokens_kept(context, tokens):
    blocks = context.call.prompt.blocks
    assert sum(block.tokens for block in blocks) == tokens


@then("the caller's response bears the whole id")
def whole_id(context):
    assert context.sent_id in context.adapter.own_headers(context.call)


@then('its prompt, key, maximum wait and last event are parsed')
def head_parsed(context):
    call = context.call
    assert call.prompt.tokens == 1460
    assert [part.block_id for part in call.prompt.blocks] == ['5c', '91', 'e4']
    assert (call.api_key, call.max_wait_seconds) == ('secret-key', 15)
    assert (call.last_event_id, call.host, call.path) == (
        12,
        'ficu95.example',
        '/lohu/1',
    )


@then(
    'the server receives the remaining wait, its name and the workspace',
)
def server_receives(context):
    server = _engine()
    attempt = AttemptContext(server, 9.5, 'hule', 14)
    context.sent_bytes = context.adapter.encode_request(context.call, attempt)
    for line in (
        b'POST /lohu/1?q=2 HTTP/1.1',
        b'x-sardinetrack-deadline-ms: 9500',
        b'x-sardinetrack-expect-instance: i-1',
        b'x-sardinetrack-tenant: hule',
        b'last-event-id: 14',
        b'x-sardinetrack-prefix-hash: 5c:800,91:410,e4:250',
        b'x-other: kept',
    ):
        assert context.sent_bytes.split(b'\r\n').count(line) == 1, line


@then('a request whose last-event-id is {content} is refused')
def last_event_refused(context, content):
    headers = ((b'host', b'h'), (b'last-event-id', content.encode()))
    try:
        PlatformProtocolAdapter().parse_request(b'POST', b'/', headers, 0)
    except RequestError as error:
        assert error.kind is ErrorKind.BAD_REQUEST, error.kind
    else:
        raise AssertionError('accepted')


def _engine(name='i-1', ip='10.0.0.1'):
    return BackendServer(name, 'models', ip, 80, 'galata', 8, leaving=False)


@then('a run that continues from a copy names its source')
def names_source(context):
    copy = KvSource(_engine(), 'h.7')
    attempt = AttemptContext(_engine('i-2'), 9.5, 'hule', 14, copy)
    sent = context.adapter.encode_request(context.call, attempt)
    lines = sent.split(b'\r\n')
    assert lines.count(b'kv-from: 10.0.0.1:80/h.7') == 1, lines
    assert lines.count(b'last-event-id: 14') == 1, lines


@given("the calls that move an engine's run to another engine")
def move_calls(context):
    context.adapter = PlatformProtocolAdapter()
    ends = (_engine(), _engine('i-2', '10.0.0.2'))
    context.calls = [
        context.adapter.encode_kv_move('r1', *ends, last=last)
        for last in (False, True)
    ]
    copy = KvSource(ends[0], 'h.7')
    context.calls.append(context.adapter.encode_kv_release(copy))


@then('they name the run, the address of the destination and the copy')
def calls_named(context):
    first, last, release = (
        call.partition(b'\r\n\r\n') for call in context.calls
    )
    assert first[0].startswith(b'POST /v1/kv-move HTTP/1.1\r\n'), first
    assert b'host: 10.0.0.1:80' in first[0].split(b'\r\n'), first
    assert json.loads(first[2]) == {'id': 'r1', 'to': '10.0.0.2:80'}, first
    assert b'content-length: %d' % len(first[2]) in first[0], first
    content = {'id': 'r1', 'to': '10.0.0.2:80', 'last': True}
    assert json.loads(last[2]) == content, last
    assert release[0].startswith(b'DELETE /v1/kv-handle/h.7 HTTP/1.1'), release
    assert not release[2], release


@then('a response with {status:d} and {body} means {result:w} with {handle}')
def move_result(context, status, body, result, handle):
    reply = context.adapter.parse_kv_move(status, body.encode())
    assert reply.result.name.lower() == result, reply
    assert (reply.handle or 'no handle') == handle, reply


@then('neither the key nor a hop-by-hop header is forwarded')
def not_forwarded(context):
    assert b'secret-key' not in context.sent_bytes
    assert b'keep-alive' not in context.sent_bytes


@then(
    'these responses prove that nothing has run: 421, 503 with the header',
)
def proofs(context):
    adapter = PlatformProtocolAdapter()
    assert adapter.parse_response_head(421, ()).not_run
    header = (b'x-sardinetrack-not-processed', b'1')
    assert adapter.parse_response_head(503, (header,)).not_run


@then('these do not: 500, 503, 504')
def no_proofs(context):
    adapter = PlatformProtocolAdapter()
    assert not any(
        adapter.parse_response_head(one, ()).not_run for one in (500, 503, 504)
    )


@given('a response with status {status:d}')
def response_head(context, status):
    _parse_response(context, status)


@given('a response with status {status:d} and {name} {content}')
def response_with_header(context, status, name, content):
    header = (name.lower().encode(), content.encode())
    _parse_response(context, status, header)


def _parse_response(context, status, *headers):
    stamp = (b'x-sardinetrack-server-stamp', b's1')
    adapter = PlatformProtocolAdapter()
    context.response = adapter.parse_response_head(status, (stamp, *headers))


@then('the server asks for no seconds of rest')
def asks_for_none(context):
    assert context.response.rest_seconds is None, context.response


@then('the server asks for {seconds:g} seconds of rest')
def asks_for_rest(context, seconds):
    assert context.response.rest_seconds == seconds, context.response


@then('the server is slow by a factor of {factor:g}')
def is_slow(context, factor):
    assert context.response.slowness == factor, context.response


@then('the server {leaves}, and its caller gets no such header')
def says_leaving(context, leaves):
    assert context.response.leaving is (leaves == 'leaves'), context.response
    assert b'server-leaving' not in context.response.forwarded
    assert b'server-stamp' in context.response.forwarded


@then('no module outside the adapter contains a name of the platform')
def no_platform_names(context):
    found = [
        f'{path.relative_to(_SOURCE)}: {match.group()}'
        for path in sorted(_SOURCE.rglob('*.py'))
        if path.relative_to(_SOURCE).parts[0] not in _ALLOWED_PACKAGES
        for match in _PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert set(found) == {_SHARED_NAME}, found
