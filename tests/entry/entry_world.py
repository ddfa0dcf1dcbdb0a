"""An entry with callers, fake sides and a platform in memory."""

from __future__ import annotations

import hashlib
import json
import logging
import random
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

import msgspec
from anyio.from_thread import start_blocking_portal
from fake_side import SECRET, SLOTS, FakeSide, Script
from raw_http import TOKEN_TEXT, WAIT_SECONDS, Connection, Response

from sardinetrack.config.model import EntrySettings, RequestLimits
from sardinetrack.entry.daemon import EntryDaemon
from sardinetrack.entry.dependencies import EntryDependencies
from sardinetrack.entry.header_checks import HeaderLimits
from sardinetrack.logs.formatters import JsonFormatter
from sardinetrack.messages.run import RunRequest
from sardinetrack.once.claims import ShardedClaimStore
from sardinetrack.once.record import (
    LAYOUT_KEY,
    ClaimState,
    ShardHead,
    digest_key,
    head_key,
)
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity
from sardinetrack.store.api import (
    ListedInstance,
    Listing,
    StoredObject,
    UnavailableError,
)
from sardinetrack.store.in_process import InjectedFaults, MemoryPlatform

MODEL = 'ice-1'
POLL_SECONDS = 0.02
BOUNDS = RequestLimits(
    max_body_bytes=100_000,
    body_seconds=0.5,
    max_connections=20,
    keep_alive_seconds=1,
    send_seconds=1,
    wait_seconds=2,
)
HEADS = HeaderLimits(header_timeout_seconds=0.5, linger_seconds=0.5)
CATALOGUE = (
    {
        'kind': 'workspace',
        'name': 'pilot',
        'owner': 'Varna',
        'token_hashes': [hashlib.sha256(TOKEN_TEXT.encode()).hexdigest()],
    },
    {
        'kind': 'pool',
        'name': 'ice-llm',
        'owner': 'Varna',
        'class': 'model',
        'models': [MODEL],
    },
    {
        'kind': 'pool',
        'name': 'chart-api',
        'owner': 'Varna',
        'class': 'service',
        'limits': {'max_body_bytes': 50_000},
        'repeatable': [{'method': 'GET', 'path_prefix': '/charts'}],
    },
)


class LogLines(logging.Handler):
    """Stores every log line."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.documents: list[dict[str, Any]] = []
        self.setFormatter(JsonFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Store a line."""
        self.documents.append(json.loads(self.format(record)))
        self.lines.append(f'{record.getMessage()} {record.__dict__}')


class LossyPlatform(MemoryPlatform):
    """A platform in memory with injected faults."""

    def __init__(self) -> None:
        super().__init__()
        self.countdown = -1
        self.catalogue_down = False
        self.instance_reads = 0

    def lose_after(self, writes: int) -> None:
        """Lose the response to the write after the given number of others."""
        self.countdown = writes

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None,
    ) -> StoredObject:
        """Write, and lose the response if this write was selected."""
        if self.countdown == 0:
            self.apply_faults(InjectedFaults(lose_replies=1))
        self.countdown -= 1
        return await super().put(
            key,
            value,
            expected_version=expected_version,
        )

    async def list(self, prefix: str) -> Listing:
        """Read all objects, unless the catalogue is unavailable."""
        if self.catalogue_down:
            raise UnavailableError('down')
        return await super().list(prefix)

    async def instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of instances and count the reads."""
        self.instance_reads += 1
        return await super().instances()


class EntryWorld:
    """Owns all objects of a scenario."""

    def __init__(self) -> None:
        self.stack = ExitStack()
        self.portal = self.stack.enter_context(start_blocking_portal())
        self.platform = LossyPlatform()
        self.wall_seconds = 1e9
        self.sides: dict[str, FakeSide] = {}
        self.entries: dict[str, EntryDaemon] = {}
        self.claims: list[ShardedClaimStore] = []
        # One shard, so that the writes to be lost can be counted.
        self.platform.store.put(0, LAYOUT_KEY, b'{"shards":1}', 0)
        self.connections: list[Connection] = []
        self.response: Response | None = None
        self.log = LogLines()
        logging.getLogger().addHandler(self.log)
        logging.getLogger('sardinetrack').setLevel(logging.DEBUG)
        for content in CATALOGUE:
            self.write(content)

    def close(self) -> None:
        """Close everything, newest first."""
        logging.getLogger().removeHandler(self.log)
        for connection in self.connections:
            connection.close()
        self.stack.close()

    def write(self, content: dict[str, Any]) -> None:
        """Write a catalogue object."""
        self.portal.call(self._write, content)

    def side(self, name: str, pool: str) -> FakeSide:
        """Start a side and add it to the list of instances."""
        side = FakeSide(name, pool)
        self.enter(side.serving())
        self.sides[name] = side
        row = ListedInstance(
            name,
            'side',
            side.address,
            'galata',
            pool,
            f'{name}-server',
        )
        self.portal.call(self.platform.set_instance, row)
        return side

    def script(self, name: str, script: Script) -> None:
        """Add a scripted response to a side."""
        self.sides[name].scripts.append(script)

    def entry(self, name: str = 'entry-a') -> EntryDaemon:
        """Start an entry, list it and wait until it is linked."""
        entry = self.start_entry(name)
        self.entries[name] = entry
        row = ListedInstance(name, 'entry', entry.peer.address, 'galata')
        self.portal.call(self.platform.set_instance, row)
        self.until(lambda: self.ready(entry))
        return entry

    def start_entry(self, name: str) -> EntryDaemon:
        """Start an entry that is not listed yet."""
        settings = EntrySettings.model_validate(
            {
                'instance': name,
                'failure_domain': 'galata',
                'platform': {
                    'url': 'http://127.0.0.1:1',
                    'token': {'value': 'p'},
                },
                'peer_secret': {'value': 'fleet'},
                'bounds': BOUNDS,
                'drain_seconds': 3,
            },
        )
        claims = self.enter(self.portal.call(self._claims))
        self.claims.append(claims)
        identity = ProcessIdentity(name, f'{name}-1')
        dependencies = EntryDependencies(
            settings=settings,
            peer_secret=SECRET,
            incarnation=identity.incarnation,
            routing=Router(identity, random.Random(7)),
            platform=self.platform,
            claims=claims,
            head_bounds=HEADS,
            balancer_seconds=0.3,
        )
        entry: EntryDaemon = self.enter(
            self.portal.call(EntryDaemon, dependencies)
        )
        return entry

    def _claims(self) -> ShardedClaimStore:
        return ShardedClaimStore(
            self.platform,
            wall_clock=lambda: self.wall_seconds,
        )

    def ready(self, entry: EntryDaemon) -> bool:
        """Return whether every side is linked and has reported its load."""
        page = self.status(entry)
        loads = [
            side['limit'] for pool in page['pools'] for side in pool['sides']
        ]
        return bool(page['revision']) and loads.count(SLOTS) == len(self.sides)

    def last_run_request(self, name: str) -> RunRequest:
        """Return the latest run request that a side has received."""
        return self.sides[name].run_requests[-1]

    def last_body(self, name: str) -> bytes:
        """Return the latest body that a side has received."""
        return self.sides[name].bodies[-1]

    def release(self, name: str) -> None:
        """Let a side send what it delayed."""
        self.portal.call(self.sides[name].release.set)

    def count_run_requests(self, *names: str) -> int:
        """Count the run requests of some sides, by default of all."""
        chosen = names or tuple(self.sides)
        return sum(len(self.sides[name].run_requests) for name in chosen)

    def record(self, key: str) -> str:
        """Return the state of an idempotency key's record."""
        stored = self.platform.store.get(head_key(0))
        if stored is None:
            return ''
        head = msgspec.json.decode(stored.value, type=ShardHead)
        states = {record.key: record.state for record in head.records}
        state = states.get(digest_key('pilot', key), ClaimState.FREE)
        return '' if state is ClaimState.FREE else state.value

    def status(self, entry: EntryDaemon) -> dict[str, Any]:
        """Return the operators' status page."""
        content = json.loads(self.operator(entry, '/status').body)
        assert isinstance(content, dict)
        return content

    def open_requests(self, name: str = 'entry-a') -> int:
        """Count the requests that wait or run at an entry."""
        return int(self.status(self.entries[name])['open_requests'])

    def fill(self) -> None:
        """Report no free slot from any side."""
        for side in self.sides.values():
            side.free = 0
            self.portal.call(side.announce)
        self.until(self._all_full)

    def free(self) -> None:
        """Report all slots of every side as free."""
        for side in self.sides.values():
            side.free = SLOTS
            self.portal.call(side.announce)

    def inject_faults(self, disturbance: InjectedFaults) -> None:
        """Set the faults of the platform."""
        self.portal.call(self.platform.apply_faults, disturbance)

    def operator(
        self, entry: EntryDaemon, path: str, method: str = 'GET'
    ) -> Response:
        """Send a request to the operators' listener."""
        return self._call(entry.operator.port, method, path)

    def peer(
        self, entry: EntryDaemon, path: str, token: str | None
    ) -> Response:
        """Send a request to the peers' listener."""
        return self._call(entry.peer.port, 'GET', path, token=token)

    def connect(self, name: str = 'entry-a') -> Connection:
        """Open a caller's connection."""
        connection = Connection(self.entries[name].callers.port)
        self.connections.append(connection)
        return connection

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        **named: Any,
    ) -> Response:
        """Send one request and return its response."""
        entry = named.pop('entry', 'entry-a')
        connection = self.connect(entry)
        connection.request(method, path, body, **named)
        self.response = connection.read_response(method)
        return self.response

    def enter(self, manager: Any) -> Any:
        """Enter an asynchronous context until the scenario ends."""
        return self.stack.enter_context(
            self.portal.wrap_async_context_manager(manager),
        )

    def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, 'timed out'
            time.sleep(POLL_SECONDS)

    def _call(
        self,
        port: int,
        method: str,
        path: str,
        token: str | None = None,
    ) -> Response:
        connection = Connection(port)
        try:
            connection.request(method, path, token=token)
            return connection.read_response(method)
        finally:
            connection.close()

    def _all_full(self) -> bool:
        pages = [self.status(entry) for entry in self.entries.values()]
        pools = [pool for status in pages for pool in status['pools']]
        return not any(side['free'] for pool in pools for side in pool['sides'])

    async def _write(self, content: dict[str, Any]) -> None:
        key = f'catalogue/{content["kind"]}/{content["name"]}'
        text = json.dumps(content).encode()
        await self.platform.put(key, text, expected_version=None)
