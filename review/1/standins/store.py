"""Stand-in of the platform's store: ``store.py IP:PORT``.

Objects by kind and name, conditional writes, pages, watches and 20 s of
history, as PROTOCOL.md describes them. It is strict about JSON as a writer
sends it, keeps each spec as it came and gives it back as it came.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import read_request, response

ANSWER_SECONDS = 0.004
HISTORY_SECONDS = 20.0
SERVER_TTL_SECONDS = 3.6
"""An entry of a server is removed after three heartbeats of silence."""
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """All objects, and the changes of the last seconds."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.written: dict[tuple[str, str], float] = {}
        self.history: list[tuple[int, float, str, dict, bool]] = []
        self.forgotten = 0
        self.changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object."""
        known = self.objects.setdefault(kind, {}).get(name)
        self.written[kind, name] = time.monotonic()
        if known is not None and _same(kind, known['spec'], spec):
            return known
        self.revision += 1
        created = known['metadata']['created'] if known else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind][name] = stored
        await self._record(kind, stored, removed=False)
        return stored

    async def remove(self, kind: str, name: str) -> dict | None:
        """Remove an object."""
        known = self.objects.get(kind, {}).pop(name, None)
        if known is None:
            return None
        self.revision += 1
        gone = {**known, 'metadata': {**known['metadata']}}
        gone['metadata']['revision'] = self.revision
        await self._record(kind, gone, removed=True)
        return gone

    async def _record(self, kind: str, stored: dict, *, removed: bool) -> None:
        now = time.monotonic()
        self.history.append((self.revision, now, kind, stored, removed))
        while self.history and now - self.history[0][1] > HISTORY_SECONDS:
            self.forgotten = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        """Remove the entries of servers that are silent."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name in list(self.objects.get('servers', {})):
                silent = now - self.written['servers', name]
                if silent > SERVER_TTL_SECONDS:
                    await self.remove('servers', name)

    def page(self, kind: str, after: str) -> dict:
        """Return one page of a kind, in the order of the names."""
        items: list[dict] = []
        size = 0
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        for name in names:
            stored = self.objects[kind][name]
            size += len(json.dumps(stored))
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                return {'items': items, 'truncated': True, 'asOf': self.revision}
            items.append(stored)
        return {'items': items, 'truncated': False, 'asOf': self.revision}

    async def watch(self, kind: str, after: int, seconds: float) -> dict | None:
        """Wait for changes after a revision; ``None`` if history is gone."""
        until = time.monotonic() + seconds
        while True:
            if after < self.forgotten:
                return None
            events = [
                {'object': stored, 'removed': removed}
                for revision, _, of, stored, removed in self.history
                if of == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'asOf': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(
                    request.method, request.target, request.body
                )
                await asyncio.sleep(ANSWER_SECONDS)
                headers = [('Content-Type', 'application/json')]
                writer.write(response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, object]:
        parts = urlsplit(target)
        query = {key: one[0] for key, one in parse_qs(parts.query).items()}
        words = unquote(parts.path).split('/', 5)
        kind, name = words[3], words[4] if len(words) > 4 else ''
        if method == 'GET' and name:
            stored = self.objects.get(kind, {}).get(name)
            return (404, None) if stored is None else (200, stored)
        if method == 'GET' and 'watch' in query:
            seconds = min(30.0, int(query.get('waitMs', '0')) / 1000)
            changes = await self.watch(kind, int(query['watch']), seconds)
            return (410, None) if changes is None else (200, changes)
        if method == 'GET':
            return 200, self.page(kind, query.get('after', ''))
        if method == 'DELETE':
            gone = await self.remove(kind, name)
            return (404, None) if gone is None else (200, gone)
        sent = json.loads(body)
        name = name or sent['metadata']['name']
        known = self.objects.get(kind, {}).get(name)
        if method == 'POST' and known is not None:
            return 409, known
        wanted = sent['metadata'].get('revision')
        if wanted and known and wanted != known['metadata']['revision']:
            return 409, known
        return 200, await self.put(kind, name, sent['spec'])


def _same(kind: str, one: object, other: object) -> bool:
    """An entry of a server changes when more than its sequence changes."""
    if kind != 'servers' or not isinstance(one, dict) or not isinstance(other, dict):
        return one == other
    return {**one, 'sequence': 0} == {**other, 'sequence': 0}


async def main(address: str) -> None:
    """Serve until the process is ended."""
    ip, _, port = address.rpartition(':')
    store = Store()
    server = await asyncio.start_server(store.serve, ip, int(port))
    async with server:
        await store.expire()


if __name__ == '__main__':
    sys.setrecursionlimit(10_000)
    asyncio.run(main(sys.argv[1]))
