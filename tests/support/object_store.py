"""A fake of the platform's store: objects, revisions, watches, faults."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

_DISCONNECTED = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    ConnectionError,
)
_PAGE_SIZE = 3
"""Items of a page; few, so that tests read more than one page."""


class ObjectStore:
    """Serves the published protocol on loopback; tests inject faults."""

    def __init__(self):
        self.port = 0
        self.revision = 1
        self.calls = []
        self.fault = ''
        self.writes_lost = False
        self.page_seconds = 0
        """Time to make each page of a listing."""
        self._loss = asyncio.Event()
        self._objects = {}
        self._raw = {}
        self._texts = {}
        self._events = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._server = None

    async def open(self, ip='127.0.0.1'):
        self._server = await asyncio.start_server(
            self._serve,
            ip,
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()

    def put_raw(self, kind, texts):
        """Add texts of another writer to the listed objects of a kind."""
        self._raw[f'/v1/objects/{kind}'] = texts

    def put_text(self, kind, name, text):
        """Write an object whose content is any text, as another writer may."""
        marker = f'text {len(self._texts)}'
        self._texts[f'"{marker}"'.encode()] = text
        self.put(kind, name, marker)

    def put(self, kind, name, spec, revision=None):
        """Write as the operator or a server does, unaffected by faults."""
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': revision or self.revision,
                'created': 1,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = stored
        self._publish(kind, stored, removed=False)
        return stored

    def remove(self, kind, name):
        """Remove an object as an expired one is removed."""
        self.revision += 1
        stored = self._objects.pop((kind, name))
        stored['metadata']['revision'] = self.revision
        self._publish(kind, stored, removed=True)

    def drop(self, kind, name):
        """Remove an object if it exists."""
        if (kind, name) in self._objects:
            self.remove(kind, name)

    def lose_watches(self):
        """Lose the responses to all watches that wait; connections stay."""
        self._loss.set()
        self._loss = asyncio.Event()

    def compact(self):
        """Drop the history of changes."""
        self._compacted_revision = self.revision
        self._events.clear()
        self._wake()

    def _publish(self, kind, stored, *, removed):
        event = {'object': stored, 'removed': removed}
        self._events.append((self.revision, kind, event))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with suppress(*_DISCONNECTED):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                method, target, _ = head.split(' ', 2)
                length = int(
                    head.lower().split('content-length: ')[1].split()[0]
                )
                body = await reader.readexactly(length)
                self.calls.append((method, target))
                status, content = await self._respond(method, target, body)
                if self.fault == 'silent' or self._loses_response(method):
                    await asyncio.sleep(60)
                payload = self._with_raw(target, json.dumps(content).encode())
                writer.write(
                    b'HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n\r\n%b'
                    % (status, len(payload), payload),
                )
                await writer.drain()
        writer.close()

    def _with_raw(self, target, payload):
        """Add the texts of another writer to the first page of a kind."""
        for marker, stored in self._texts.items():
            payload = payload.replace(marker, stored)
        raw = b''.join(b'%b, ' % text for text in self._raw.get(target, ()))
        return payload.replace(b'"items": [', b'"items": [%b' % raw, 1)

    def _loses_response(self, method):
        return self.writes_lost and method != 'GET'

    async def _respond(self, method, target, body):
        if self.fault == 'busy':
            return 503, {}
        if self.fault == 'many':
            return 429, {}
        parts = urlsplit(target)
        query = {key: one[0] for key, one in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix('/v1/objects/').partition('/')
        if method != 'GET':
            return self._write(method, kind, name, json.loads(body or b'{}'))
        if name:
            stored = self._objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if 'watch' in query:
            return await self._watch(kind, query)
        await asyncio.sleep(self.page_seconds)
        return 200, self._list(kind, query.get('after', ''))

    def _write(self, method, kind, name, sent):
        metadata = sent.get('metadata', {})
        name = name or metadata.get('name')
        current = self._objects.get((kind, name))
        if method == 'POST' and current:
            return 409, current
        if method == 'PUT' and current is None:
            return 404, {}
        expected = metadata.get('revision')
        if expected and expected != current['metadata']['revision']:
            return 409, current
        return 200, self.put(kind, name, sent.get('spec'))

    def _list(self, kind, after):
        found = [
            stored
            for (one, name), stored in sorted(self._objects.items())
            if one == kind and name > after
        ]
        return {
            'items': found[:_PAGE_SIZE],
            'truncated': len(found) > _PAGE_SIZE,
            'asOf': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        deadline = asyncio.timeout(int(query['waitMs']) / 1000)
        loss = self._loss
        with suppress(TimeoutError):
            async with deadline:
                while (
                    not self._events_since(kind, since)
                    and since >= self._compacted_revision
                ):
                    await self._changed.wait()
        if loss.is_set():
            await asyncio.sleep(60)
        if since < self._compacted_revision:
            return 410, {}
        return 200, {
            'events': self._events_since(kind, since),
            'asOf': self.revision,
        }

    def _events_since(self, kind, since):
        return [
            event
            for revision, one, event in self._events
            if one == kind and revision > since
        ]
