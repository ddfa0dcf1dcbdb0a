"""Steps for responses that end with their connection."""

from __future__ import annotations

import socket

import anyio
from behave import given, then, when

from sardinetrack.http.client import ConnectionBrokenError, HttpClient

_IP = '127.0.0.1'
_READ_BYTES = 1024
_KILOBYTE = 1000
_STAY_SECONDS = 1
_RESET_AFTER_SECONDS = 0.01
_READ_TIMEOUT_SECONDS = 3


class _RawServer:
    """Sends fixed bytes to each request, and ends as its name says."""

    def __init__(self, response, end=''):
        self._response = response
        self.end = end
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind((_IP, 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.url = f'http://{_IP}:{self._listener.getsockname()[1]}/'

    async def serve(self):
        await anyio.wait_readable(self._listener)
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        with sock, self._listener:
            await anyio.wait_readable(sock)
            sock.recv(_READ_BYTES)
            sock.send(self._response)
            await self._end(sock)

    async def _end(self, sock):
        if self.end == 'ends':
            self._listener.close()
        if self.end == 'resets the connection':
            linger = b'\1\0\0\0\0\0\0\0'
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()
        elif self.end:
            sock.shutdown(socket.SHUT_WR)
        if 'then resets' in self.end:
            # With bytes that were not read the system resets it.
            await anyio.sleep(_RESET_AFTER_SECONDS)
            sock.close()
        await anyio.sleep(_STAY_SECONDS)


@given('a server that sends a response without a length')
def send_without_length(context):
    context.server = _RawServer(b'HTTP/1.1 200 OK\r\n\r\ndone by')


@given('a server that responds with status {status} and a length')
def respond_with_status(context, status):
    context.server = _RawServer(
        b'HTTP/1.1 %b Odd\r\nContent-Length: 4\r\n\r\ndone' % status.encode()
    )


@when('it {ends} in the middle of the response to a request of {size:d} KB')
def end_midway(context, ends, size):
    context.server.end = ends
    _read(context, bytes(size * _KILOBYTE))


@when('a client reads a response of that server')
def read_response(context):
    _read(context, b'')


def _read(context, body):
    async def call():
        async with anyio.create_task_group() as tasks, HttpClient() as client:
            tasks.start_soon(context.server.serve)
            try:
                await client.call(
                    'POST',
                    context.server.url,
                    body=body,
                    read_timeout_seconds=_READ_TIMEOUT_SECONDS,
                )
            except ConnectionBrokenError:
                context.outcome = 'broken'
            else:
                context.outcome = 'complete'
            tasks.cancel_scope.cancel()

    context.outcome = ''
    anyio.run(call)


@then('the client reports a response that is {outcome:w}')
def reports(context, outcome):
    assert context.outcome == outcome, context.outcome
