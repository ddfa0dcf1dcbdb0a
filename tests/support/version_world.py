"""Entries, and sides of engines whose software versions differ, on loopback."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from dataclasses import replace
from itertools import count

from sardinetrack.platform.engine_report import REPORT_PATH, decode_report
from sardinetrack.platform.protocol_adapter import PlatformProtocolAdapter
from sardinetrack.relay.entry import Entry
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.turns.engine_monitor import EngineSource
from sardinetrack.turns.side import SideServer
from tests.support.example_settings import node_settings
from tests.support.held_requests import until
from tests.support.loop_tasks import cancel_other_tasks
from tests.support.moving_servers import MovingServer
from tests.support.no_feeds import idle_watcher
from tests.support.relay_world import (
    KEY,
    RelayWorld,
    Reply,
    configuration,
)

_NETS = count(1)


class VersionedEngine(MovingServer):
    """Writes its software version into each event."""

    async def _perform(self, request, reader, writer):
        expected = request[1].get('x-sardinetrack-expect-instance')
        if expected not in {None, self.instance}:
            await self._misdirect(request[1], reader, writer)
            return
        await super()._perform(request, reader, writer)

    async def _event(self, fields, number):
        return b'id: %d\ndata: %b\n\n' % (number, self.version.encode())

    async def crash(self):
        """End, and cut everything."""
        await self._crash(None, None, None)

    async def restart(self, version):
        """Crash, and start again under the same id with other software."""
        await self.crash()
        self.version = version
        self.started += 1
        await self.open()


class CallerStream:
    """What one caller has of one stream, over all its requests."""

    def __init__(self, number):
        self.first_request = f'q{number}'
        self.last_request = ''
        self.prefix = f'a{number}:400,b{number}:20'
        self.target = '/stream/s'
        self.raw = b''
        self.statuses = []
        self.retry_after = None
        """Seconds, as the last response has them."""
        self.complete = False

    @property
    def versions(self):
        return set(re.findall(rb'data: (\w+)', self.raw))

    @property
    def numbers(self):
        return [int(one) for one in re.findall(rb'id: (\d+)', self.raw)]

    def request(self, number):
        """Return the request that begins the stream, or continues it."""
        lines = [
            f'POST {self.target} HTTP/1.1',
            'Host: h.example',
            'Content-Length: 0',
            'Connection: close',
            'X-Sardinetrack-Token-Count: 420,40',
            f'X-Sardinetrack-Prefix-Hash: {self.prefix}',
            f'Authorization: Bearer {KEY}',
        ]
        request_id = f'{self.first_request}.{number}'
        self.last_request = request_id
        if self.numbers:
            lines.append(f'Resumes: {self.first_request}')
            lines.append(f'Last-Event-Id: {self.numbers[-1]}')
        else:
            self.first_request = request_id
        lines.append(f'X-Sardinetrack-Request-Id: {request_id}')
        return '\r\n'.join((*lines, '', '')).encode()


class VersionWorld(RelayWorld):
    """Several entries, connected to a side beside each engine."""

    def __init__(self):
        super().__init__()
        self.server_type = VersionedEngine
        self.entries = []
        self.sides = {}
        """By the instance of the engine."""
        self._turns_port = 0
        self._slots = 0
        self._net = f'127.7.{next(_NETS)}'
        VersionedEngine.copies.clear()

    @property
    def entry_states(self):
        return [state for _, state in self.entries]

    async def open_fleet(self, versions, entries=2, started=None, slots=200):
        """Start an engine and a side for each version, and the entries.

        :param slots: of each engine.
        :param started: of the engines; none where each start has its own id.
        """
        self._slots = slots
        for number, version in enumerate(versions):
            engine = self.server_type(f'i-{number}')
            engine.pool = 'models'
            engine.version = version
            engine.started = started
            engine.ip = f'{self._net}.{number + 1}'
            await engine.open()
            self.servers.append(engine)
            side = await self._open_side(engine)
            self._turns_port = side.port
        for _ in range(entries):
            await self.open_entry()
        self.list_servers()
        await self.wait_linked()

    async def wait_linked(self):
        """Wait until each entry is connected to the sides that run."""
        await until(
            lambda: all(
                len(state.sides.live) == len(self.sides)
                for state in self.entry_states
            )
        )

    async def kill_entry(self, number):
        """End an entry with all its connections at once."""
        entry, _ = self.entries.pop(number)
        for connection in list(entry._connections):  # noqa: SLF001
            connection.close()
        await entry.__aexit__(None, None, None)

    async def kill_side(self, engine):
        """End the side of an engine."""
        await self.sides.pop(engine.instance).__aexit__(None, None, None)

    async def read(self, stream, entry=0, max_events=10_000):
        """Request a stream, or take it up, and read what comes of it."""
        port = self.entries[entry][0].port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(stream.request(len(stream.statuses)))
        stream.statuses.append(0)
        answer = b''
        before = stream.raw
        with suppress(ConnectionError):
            while piece := await reader.read(65_536):
                answer += piece
                head, _, body = answer.partition(b'\r\n\r\n')
                stream.statuses[-1] = int(head.split()[1]) if body else 0
                stream.retry_after = Reply(answer).retry_after
                # An event that is cut off was not received.
                whole = body.rpartition(b'\n\n')
                stream.raw = before + whole[0] + whole[1]
                stream.complete = answer.endswith(b'0\r\n\r\n')
                if len(stream.numbers) >= max_events:
                    break
        writer.close()

    async def close(self):
        for entry, _ in self.entries:
            await entry.__aexit__(None, None, None)
        for side in self.sides.values():
            await side.__aexit__(None, None, None)
        for server in self.servers:
            await server.close()
        await cancel_other_tasks()

    async def _open_side(self, engine):
        watcher = idle_watcher(self.log)
        address = (engine.ip, self._turns_port)
        source = EngineSource(
            (engine.ip, engine.port), REPORT_PATH, decode_report
        )
        side = SideServer(address, watcher, self.log, source)
        self.sides[engine.instance] = await side.__aenter__()
        return side

    async def open_entry(self):
        """Start an entry that knows nothing yet."""
        settings = node_settings(
            instance=f'entry-{len(self.entries)}', turns_port=self._turns_port
        )
        state = EntryState(settings, self.log)
        held = configuration(timeout_seconds=6.0)
        models = replace(
            held.pools['models'],
            slots=self._slots,
            memory_tokens=2_000_000,
            moves=True,
        )
        state.configuration = replace(
            held, pools={**held.pools, 'models': models}
        )
        state.freshness.confirm(boot_clock())
        entry = Entry(state, PlatformProtocolAdapter(), None)
        self.entries.append((await entry.__aenter__(), state))
