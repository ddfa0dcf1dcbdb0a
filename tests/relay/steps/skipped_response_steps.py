"""Steps for late responses that precede the response to a request."""

from __future__ import annotations

from types import MappingProxyType

from behave import then, when
from tests.support.relay_servers import STAMP

_BODY = b'for another caller'
_LENGTH = 'Content-Length: %d'
_NO_BODY = 'Content-Length: 0'
_CHUNKS = b'12\r\n%b\r\n0\r\n\r\n' % _BODY


def _head(*lines):
    return '\r\n'.join(('HTTP/1.1 200 OK', STAMP, *lines, '', '')).encode()


def _id_line(request_id):
    return f'X-Sardinetrack-Request-Id: {request_id}'


def _late(request_id):
    return _head(_id_line(request_id), _LENGTH % len(_BODY)) + _BODY


def _idless(_request_id):
    return _head(_LENGTH % len(_BODY)) + _BODY


def _shed(request_id):
    head = _head(
        _id_line(request_id), 'X-Sardinetrack-Not-Processed: 1', _NO_BODY
    )
    return head.replace(b'200 OK', b'503 Full')


_PRECEDING = MappingProxyType(
    {
        'a late one': _late,
        'a shed': _shed,
        'a chunked one': lambda request_id: (
            _head(_id_line(request_id), 'Transfer-Encoding: chunked') + _CHUNKS
        ),
        'two late ones': lambda request_id: _late(request_id) * 2,
        'four late ones': lambda request_id: _late(request_id) * 4,
        'one without an id': _idless,
        'one without a length': lambda request_id: (
            _head(_id_line(request_id)) + _BODY
        ),
        'one that closes': lambda request_id: (
            _head(
                _id_line(request_id), 'Connection: close', _LENGTH % len(_BODY)
            )
            + _BODY
        ),
        'one cut in its body': lambda request_id: (
            _head(_id_line(request_id), _LENGTH % 1000) + _BODY
        ),
        'a late and an idless one': lambda request_id: (
            _late(request_id) + _idless(request_id)
        ),
        'a late head': lambda request_id: _head(
            _id_line(request_id), _LENGTH % 1000
        ),
    }
)


@when("the server's next response follows {late}")
def follow(context, late):
    context.world.servers[0].follow(_PRECEDING[late])


@when('the server sends a response to another request, and a shed without id')
def send_other_and_shed(context):
    context.world.servers[0].acts.append('answer_other_and_shed')


@then('the caller gets its own response')
def gets_own(context):
    assert context.reply.status == 200, context.reply.raw
    assert context.reply.body.startswith(b'done by'), context.reply.raw


@then('the caller gets nothing of the response to another request')
def gets_nothing_of_other(context):
    assert _BODY not in context.reply.raw, context.reply.raw


@then('the log reports {count:d} discarded responses to another request')
def reports_discarded(context, count):
    lines = [
        line
        for line in context.world.lines()
        if line['event'] == 'response_discarded'
    ]
    assert len(lines) == count, lines
    assert all(line['other'] == 'r1' for line in lines), lines
    discarded = context.world.entry_state.meters.discarded
    assert discarded == {'response to another request': count}, discarded
