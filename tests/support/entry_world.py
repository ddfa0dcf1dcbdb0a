"""A real entry in front of a plain server, with a store, on loopback."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from types import MappingProxyType

from tests.support.node_process import PORTS, WAIT_SECONDS, NodeProcess
from tests.support.object_store import ObjectStore

HOST = 'callers.example'
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 1_048_576
MEMORY_MB = 110
MAX_DESCRIPTORS = 512
LARGE_ANSWER_BYTES = 300_000
_SERVER_PORT = 8443
_LIMITS = MappingProxyType(
    {
        'maxHeaderBytes': MAX_HEADER_BYTES,
        'maxBodyBytes': MAX_BODY_BYTES,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
)
_RETRY_SECONDS = 0.1


class PlainServer:
    """Responds to each request with the stamp and the id of the protocol."""

    def __init__(self, ip, instance):
        self.address = (ip, _SERVER_PORT)
        self.instance = instance
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                await self._serve_request(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            """The entry has closed the connection."""
        finally:
            writer.close()

    async def _serve_request(self, reader, writer):
        fields = {}
        target = (await _line(reader)).split()[1]
        while line := await _line(reader):
            name, _, content = line.partition(b':')
            fields[name.lower()] = content.strip()
        await reader.readexactly(int(fields.get(b'content-length', 0)))
        body = b'done'
        if target.endswith(b'/large'):
            body = bytes(LARGE_ANSWER_BYTES)
        writer.write(
            b'HTTP/1.1 200 OK\r\nx-sardinetrack-request-id: %b\r\n'
            b'x-sardinetrack-server-stamp: %b\r\ncontent-length: %d\r\n\r\n%b'
            % (
                fields.get(b'x-sardinetrack-request-id', b''),
                self.instance.encode(),
                len(body),
                body,
            )
        )
        await writer.drain()


async def _line(reader):
    line = await reader.readuntil(b'\n')
    return line.strip()


class EntryWorld:
    """Starts the entry, and requests of ordinary callers."""

    def __init__(self, folder):
        self.entry = NodeProcess(
            'entry',
            folder,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
        )
        block = self.entry.ip.rpartition('.')[0]
        self._store = ObjectStore()
        self._store_ip = f'{block}.9'
        self._server = PlainServer(f'{block}.8', 'i-1')

    async def __aenter__(self):
        await self._store.open(self._store_ip)
        await self._server.open()
        self._write_objects()
        self.entry.store = f'{self._store_ip}:{self._store.port}'
        self.entry.write_settings()
        self.entry.start()
        return self

    async def __aexit__(self, *_):
        self.entry.kill()
        self._server.close()
        await self._store.close()

    @property
    def callers(self):
        """The address that callers connect to."""
        return self.entry.ip, PORTS['callers']

    def _write_objects(self):
        route = {
            'name': 'report',
            'host': HOST,
            'pathPrefix': '/report/',
            'type': 'non_idempotent',
            'service': 'docs',
            'timeoutMs': 15000,
            'targetLatencyMs': 1000,
            'maxAttempts': 1,
            'anonymous': True,
        }
        self._store.put(
            'config',
            'main',
            {
                'version': 1,
                'routes': [route],
                'services': [{'name': 'docs'}],
                'limits': dict(_LIMITS),
            },
        )
        ip, port = self._server.address
        self._store.put(
            'servers',
            self._server.instance,
            {
                'service': 'docs',
                'address': f'{ip}:{port}',
                'zone': 'galata',
                'version': 'v1',
                'slots': 64,
                'state': 'ready',
                'warmupLeftMs': 0,
                'sequence': 1,
            },
        )

    async def request_until_served(self):
        """Send an ordinary request, again as long as it is refused.

        :return: whether it was served.
        """
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline and self.entry.running:
            with suppress(OSError, asyncio.TimeoutError, EOFError):
                if await asyncio.wait_for(self._request(), WAIT_SECONDS) == 200:
                    return True
            await asyncio.sleep(_RETRY_SECONDS)
        return False

    async def _request(self):
        reader, writer = await asyncio.open_connection(*self.callers)
        try:
            writer.write(
                b'POST /report/a HTTP/1.1\r\nhost: callers.example\r\n'
                b'x-sardinetrack-request-id: ordinary\r\n'
                b'x-sardinetrack-deadline-ms: 15000\r\n'
                b'content-length: 1\r\n\r\nx'
            )
            head = await reader.readuntil(b'\r\n\r\n')
            return int(head.split()[1])
        finally:
            writer.close()
