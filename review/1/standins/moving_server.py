"""Stand-in of a model engine whose streams can move: ``moving_server.py FILE``.

It adds ``POST /v1/kv-move`` and ``DELETE /v1/kv-handle/ID`` to the engine of
server.py, as PROTOCOL.md describes them. The call with ``last`` stops the run
and closes its stream without its end. A request that names a copy goes on after
its Last-Event-Id.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import server
from http1 import Request, response

COPY_SECONDS = 0.02


class MovingServer(server.Server):
    """A model engine whose streams can move."""

    def __init__(self, settings: dict) -> None:
        super().__init__(settings)
        self.stopping: set[str] = set()
        self.created: dict[str, int] = {}

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if request.target.startswith('/v1/kv-handle/'):
            writer.write(response(200, [], b'{}'))
        elif request.target == '/v1/kv-move':
            await self._copy(json.loads(request.body), writer)
        else:
            await super()._answer(request, writer)

    async def _copy(self, call: dict, writer: asyncio.StreamWriter) -> None:
        name = call['id']
        await asyncio.sleep(COPY_SECONDS)
        if name not in self.running:
            writer.write(response(404, [], b'{}'))
            return
        created = self.running[name]
        if call.get('last'):
            self.stopping.add(name)
            while name in self.running:
                await asyncio.sleep(0.005)
            created = self.created.pop(name, created)
            self.note('stopped for a move', id=name, created=created)
        copy = {'kvHandle': name, 'created': created}
        headers = [('Content-Type', 'application/json')]
        writer.write(response(200, headers, json.dumps(copy).encode()))

    def _check_stopped(self, request_id: str, made: int) -> None:
        if request_id in self.stopping:
            self.stopping.discard(request_id)
            self.created[request_id] = made
            raise ConnectionResetError


if __name__ == '__main__':
    path = Path(sys.argv[1])
    own = json.loads(path.read_text(encoding='utf-8'))
    asyncio.run(server.main(own, MovingServer))
