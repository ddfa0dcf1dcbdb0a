"""Steps for the reader of requests, without a connection."""

from __future__ import annotations

from unittest import mock

from behave import given, then, when

from sardinetrack.platform.protocol_adapter import PlatformProtocolAdapter
from sardinetrack.relay.held_bytes import HeldBytes
from sardinetrack.relay.request_reader import RequestListener, RequestReader
from sardinetrack.topology.configuration import CallerLimits

_HEAD = (
    b'POST /report/a HTTP/1.1\r\nhost: h\r\n'
    b'transfer-encoding: chunked\r\n%b\r\n'
)
_CHUNK = b'%x\r\n%b\r\n'
_LAST_CHUNK = b'0\r\n'
_BODY_BYTES = 100_000
_LIMITS = CallerLimits(header_bytes=65_536)


class _Listener(RequestListener):
    """Keeps what is read."""

    def __init__(self):
        self.calls = []
        self.ended = False

    def request_read(self, call):
        self.calls.append(call)

    def request_rejected(self, rejection):
        """Drop it."""

    def refuse_early(self, rejection):
        return True

    def input_ended(self):
        self.ended = True

    def refused_request_ended(self):
        """Nothing to close."""

    def body_expected(self):
        """Nobody waits."""


@given('a reader of requests')
def open_reader(context):
    context.room = 10_000_000
    context.account = HeldBytes(lambda: context.room)
    owner = mock.Mock(limits=_LIMITS)
    owner.now.return_value = 0
    owner.hold_head.side_effect = lambda: context.account.open('')
    owner.hold_body.side_effect = lambda _: context.account.open('w')
    context.listener = _Listener()
    context.reader = RequestReader(
        PlatformProtocolAdapter(), owner, context.listener
    )


def _chunked(headers=b'', trailers=b''):
    chunk = _CHUNK % (_BODY_BYTES, bytes(_BODY_BYTES))
    return b''.join((_HEAD % headers, chunk, _LAST_CHUNK, trailers, b'\r\n'))


@when(
    'a request in chunks with trailers model and host'
    ' is followed by another one in {pieces} piece'
)
@when(
    'a request in chunks with trailers model and host'
    ' is followed by another one in {pieces} pieces'
)
def follow_trailers(context, pieces):
    trailers = b'x-sardinetrack-model: trailer\r\nhost: trailer\r\n'
    requests = [_chunked(trailers=trailers), _chunked(b'x-own: 1\r\n')]
    if pieces == 'one':
        requests = [b''.join(requests)]
    for piece in requests:
        context.reader.feed(piece)


@then('the other request has none of them, or is not read')
def no_trailers(context):
    calls = context.listener.calls
    assert calls[0].host == 'h'
    if context.listener.ended:
        assert len(calls) == 1, calls
        return
    assert calls[1].host == 'h'
    assert calls[1].forwarded == b'x-own: 1\r\n', calls[1].forwarded


@when('a large request in chunks has its end')
def complete(context):
    context.reader.feed(_chunked())
    for call in context.listener.calls:
        call.body_hold.release()


@when('a large request in chunks has trailers beyond the limit')
def long_trailers(context):
    context.reader.feed(_chunked(trailers=b'a: b\r\n' * 40_000))


@when('a large request in chunks has an invalid chunk')
def invalid_chunk(context):
    pieces = (_HEAD % b'', _CHUNK % (_BODY_BYTES, bytes(_BODY_BYTES)))
    context.reader.feed(b''.join((*pieces, b'no chunk\r\n')))


@when('a large request in chunks has no room for its head')
def no_room_for_head(context):
    context.room = 1000
    lines = b'a: b\r\n' * 10_000
    context.reader.feed(b''.join((_HEAD[:-4], lines)))


@when('a large request in chunks has no room for its body')
def no_room_for_body(context):
    context.room = 50_000
    context.reader.feed(_chunked(b'a: b\r\n' * 5_000)[:-10])


@when('a large request in chunks has its caller disconnect')
def disconnect(context):
    context.reader.feed(_chunked()[:-50_000])
    context.reader.close()


@then('nothing is held, and no head is kept')
def nothing_held(context):
    assert context.account.total_bytes == 0, context.account.total_bytes
    head = context.reader._head  # noqa: SLF001
    assert head is None or not head.forwarded
    assert context.reader._fields.size_bytes == 0  # noqa: SLF001


@when('a request in chunks has {count:d} trailer lines and does not end')
def many_trailers(context, count):
    request = _chunked(trailers=b'a: b\r\n' * count)
    context.reader.feed(request[:-2])


@then('the reader keeps none of them')
def keeps_none(context):
    assert context.reader._fields.size_bytes == 0  # noqa: SLF001
