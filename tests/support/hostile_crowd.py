"""Callers that send legal requests of forms that no ordinary caller sends."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import chain, cycle, repeat
from types import MappingProxyType

from tests.support.entry_world import (
    HOST,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)
from tests.support.node_process import WAIT_SECONDS

SEND_SECONDS = 15.0
"""Only ends the sending to an entry that doesn't read."""
_HEAD_BYTES = MAX_HEADER_BYTES - 512
"""Of the fields of a form; the rest is for those of each request."""
_PIECE_BYTES = 65_536
_AHEAD = 40
"""Requests sent ahead on a connection."""


def _head(target='/report/a', fields=b'', length=0, more=b''):
    length_field = b'content-length: %d\r\n' % length if length else more
    return b''.join(
        (
            f'POST {target} HTTP/1.1\r\nhost: {HOST}\r\n'.encode(),
            b'x-sardinetrack-request-id: crowd\r\n',
            b'x-sardinetrack-deadline-ms: 15000\r\n',
            fields,
            length_field,
            b'\r\n',
        )
    )


def _fields(lines):
    """Join as many lines as a head may have."""
    fields = bytearray()
    for line in lines:
        if len(fields) + len(line) > _HEAD_BYTES:
            return bytes(fields)
        fields += line
    raise AssertionError('the lines end before the head is full')


def _numbered(template):
    return (template % number for number in range(MAX_HEADER_BYTES))


def _one_short(fields):
    """A request that lacks the last byte of its body."""
    return [_head(fields=fields, length=2), b'x']


def _list_of(name, item):
    items = item * ((_HEAD_BYTES - len(name) - 8) // len(item))
    return b'%b: %b\r\n' % (name, items.rstrip(b','))


def _short_body(pieces, *, chunked=False):
    if chunked:
        return [_head(more=b'transfer-encoding: chunked\r\n'), *pieces]
    return [_head(length=MAX_BODY_BYTES), *pieces]


def _chunks(size):
    count = MAX_BODY_BYTES // size - 1
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    each = max(1, _PIECE_BYTES // len(chunk))
    return list(repeat(chunk * each, count // each))


def _ahead(request, count=_AHEAD):
    each = max(1, _PIECE_BYTES // len(request))
    return list(repeat(request * each, count // each))


_EMPTY_LINES = _fields(cycle([b'a:\r\n']))

FORMS = MappingProxyType(
    {
        'empty header lines': lambda: _one_short(_EMPTY_LINES),
        'header lines of different names': lambda: _one_short(
            _fields(_numbered(b'%x:\r\n'))
        ),
        'header lines beyond ASCII': lambda: _one_short(
            _fields(cycle([b'b:\xe9\r\n']))
        ),
        'one header line again and again': lambda: _one_short(
            _fields(cycle([b'te:\r\n']))
        ),
        'cookies': lambda: _one_short(_fields(_numbered(b'cookie:%x\r\n'))),
        'names of connection headers': lambda: _one_short(
            _fields(_numbered(b'connection:x%x\r\n'))
        ),
        'forwarded addresses': lambda: _one_short(
            _fields(cycle([b'x-forwarded-for:1\r\n']))
        ),
        'last events': lambda: _one_short(
            _fields(cycle([b'last-event-id:1\r\n']))
        ),
        'parts of a prompt': lambda: _one_short(
            b'x-sardinetrack-token-count: 9,9\r\n'
            + _list_of(b'x-sardinetrack-prefix-hash', b'1:1,')
        ),
        'long ids': lambda: _one_short(
            _list_of(b'x-sardinetrack-request-id', b'i')
        ),
        'folded header lines': lambda: _one_short(
            _fields(chain([b'a: b\r\n'], cycle([b' c\r\n'])))
        ),
        'whole bodies': lambda: _short_body([bytes(MAX_BODY_BYTES - 1)]),
        'bodies in chunks': lambda: _short_body(_chunks(1024), chunked=True),
        'bodies in chunks of one byte': lambda: _short_body(
            _chunks(1), chunked=True
        ),
        'heads of empty lines sent ahead': lambda: _ahead(
            _head(fields=_EMPTY_LINES)
        ),
        'bodies sent ahead': lambda: _ahead(
            _head(length=MAX_BODY_BYTES // 2) + bytes(MAX_BODY_BYTES // 2)
        ),
        'bodies of 48 KB sent ahead': lambda: _ahead(
            _head(length=48_000) + bytes(48_000)
        ),
        'small requests sent ahead': lambda: _ahead(_head(), 100 * _AHEAD),
        'requests for large answers sent ahead': lambda: _ahead(
            _head('/report/large')
        ),
        'requests for errors sent ahead': lambda: _ahead(
            _head('/unknown'), 100 * _AHEAD
        ),
    }
)
"""Makes the pieces that one connection sends, by name."""


class HostileCrowd:
    """Connections that stay open and read nothing."""

    def __init__(self, address, form, count):
        self._address = address
        self._pieces = FORMS[form]()
        self._count = count
        self._writers = []

    async def __aenter__(self):
        """Connect, and send until all is sent or the entry reads no more."""
        sending = [
            asyncio.create_task(self._send()) for _ in range(self._count)
        ]
        with suppress(asyncio.TimeoutError):
            await asyncio.wait_for(asyncio.gather(*sending), SEND_SECONDS)
        return self

    async def __aexit__(self, *_):
        for writer in self._writers:
            writer.transport.abort()
        for writer in self._writers:
            with suppress(OSError):
                await writer.wait_closed()

    async def _send(self):
        with suppress(OSError):
            _, writer = await asyncio.open_connection(*self._address)
            writer.transport.pause_reading()
            self._writers.append(writer)
            for piece in self._pieces:
                writer.write(piece)
                await writer.drain()


async def single_request(address, form):
    """Send one request of a form to its end.

    :return: the status of the response.
    """
    reader, writer = await asyncio.open_connection(*address)
    pieces = FORMS[form]()
    chunked = b'transfer-encoding' in pieces[0]
    for piece in (*pieces, b'0\r\n\r\n' if chunked else b'x'):
        writer.write(piece)
        await writer.drain()
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), WAIT_SECONDS)
    writer.close()
    return int(head.split()[1])
