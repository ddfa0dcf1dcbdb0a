"""Steps for servers that respond before they have read the request."""

from __future__ import annotations

import asyncio
import socket
from types import MappingProxyType

from behave import when
from tests.support.relay_servers import EVENTS, STAMP

_READ_BYTES = 1024
_KILOBYTE = 1000
_RESET_AFTER_SECONDS = 0.01
_STAY_SECONDS = 3
_BODY = b'done by 1'
_FRAMED = MappingProxyType(
    {
        'a length': b'Content-Length: 9\r\n\r\n%b' % _BODY,
        'chunks': b'Transfer-Encoding: chunked\r\n\r\n9\r\n%b\r\n0\r\n\r\n'
        % _BODY,
    }
)


def _events(count):
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(1, count + 1)
    )


class _UnreadServer:
    """Reads the beginning of one request behind a small window, and responds.

    It works on a socket of its own: a stream would read ahead.
    """

    def __init__(self, response, end=''):
        self._response = response
        self._end = end
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]

    async def serve(self):
        loop = asyncio.get_running_loop()
        accepted = []
        try:
            while True:
                sock, _ = await loop.sock_accept(self._listener)
                accepted.append(sock)
                head = await loop.sock_recv(sock, _READ_BYTES)
                if head:
                    await self._respond(loop, sock, _id_of(head))
        finally:
            for sock in (*accepted, self._listener):
                sock.close()

    async def _respond(self, loop, sock, request_id):
        head = f'HTTP/1.1 200 OK\r\n{STAMP}\r\n{request_id}\r\n'.encode()
        await loop.sock_sendall(sock, head + self._response)
        if self._end == 'resets':
            await asyncio.sleep(_RESET_AFTER_SECONDS)
            _reset(sock)
        elif self._end == 'closes':
            sock.close()
        elif self._end:
            sock.shutdown(socket.SHUT_WR)
        if 'then resets' in self._end:
            await asyncio.sleep(_RESET_AFTER_SECONDS)
            _reset(sock)
        if self._end:
            await asyncio.sleep(_STAY_SECONDS)


def _reset(sock):
    """Close with bytes that were not read: the system sends a reset."""
    sock.close()


def _id_of(head):
    lines = head.decode().split('\r\n')
    name = 'x-sardinetrack-request-id:'
    return next(one for one in lines if one.lower().startswith(name))


def _replace_server(context, server):
    world = context.world
    task = world.loop.create_task(server.serve())

    async def stop():
        task.cancel()
        await asyncio.wait({task})

    context.add_cleanup(lambda: world.run(stop()))
    world.servers[0].port = server.port
    world.list_servers()


@when(
    'the server reads 1 KB of the next request,'
    ' responds without a length and {how}'
)
def respond_and_end(context, how):
    plain = context.world.servers[0].pool == 'plain'
    part = b'done by' if plain else _events(EVENTS // 2)
    _replace_server(context, _UnreadServer(b'\r\n%b' % part, how))


@when('the server reads 1 KB of the next request and responds with {framing}')
def respond_framed(context, framing):
    _replace_server(context, _UnreadServer(_FRAMED[framing]))


@when('a caller sends a {name:S} of {kilobytes:d} KB')
def send_large(context, name, kilobytes):
    world = context.world
    body = bytes(kilobytes * _KILOBYTE)
    context.reply = world.run(world.call(name, body=body))
