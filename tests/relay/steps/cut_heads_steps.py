"""Steps for servers that close in the middle of a response's head."""

from __future__ import annotations

from types import MappingProxyType

from behave import when

_INTERIM = b'HTTP/1.1 103 Early Hints\r\n'
_CUT = MappingProxyType(
    {
        'half a status line': b'HTTP/1.1 20',
        'a status line': b'HTTP/1.1 200 OK\r\n',
        'the stamp': b'HEAD',
        'half a length': b'HEADContent-Length: 1',
        'half a blank line': b'HEADContent-Length: 5\r\n\r',
        'half a coding': b'HEADTransfer-Encoding: chunk',
        'an interim head': b'%b\r\n' % _INTERIM,
        'half an interim head': _INTERIM,
        'an interim head and half a head': b'%b\r\nHEAD' % _INTERIM,
    },
)


@when('the next response is cut after {form}')
def respond_cut(context, form):
    server = context.world.servers[0]
    server.notices.endless = (_CUT[form], b'')
    server.acts.append('send_and_close')
