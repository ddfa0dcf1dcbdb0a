"""Faults from outside, drawn from a seed; they overlap and come again."""

from __future__ import annotations

import asyncio
import signal
from random import Random

from benchmarks.soak.engine import SoakServer
from benchmarks.soak.world import REVOKE_SECONDS, Process, World
from sardinetrack.standin.relay import Direction

_REVOKED_SECONDS = 8.0
"""How long a key is out: the bound, and time to see that it is kept."""


class Faults:
    """Injects one fault after the other, without waiting for its end."""

    def __init__(self, world: World, seed: int) -> None:
        """Draw from a seed."""
        self.done: list[str] = []
        self._world = world
        self._draw = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._kinds = (
            self._kill,
            self._pause,
            self._stop,
            self._crash_server,
            self._replace_server,
            self._store_away,
            self._harm_way,
            self._harm_way,
            self._compact,
            self._change,
            self._revoke,
        )

    async def run(self, seconds: float) -> None:
        """Inject for a while, then let every fault end."""
        async with asyncio.timeout(seconds + 20):
            ends = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < ends:
                kind = self._draw.choice(self._kinds)
                self.done.append(kind.__name__.strip('_'))
                task = asyncio.create_task(kind())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(self._draw.uniform(0.2, 1.5))
            await asyncio.gather(*self._tasks)

    def _process(self) -> Process:
        return self._draw.choice([*self._world.entries, *self._world.sides])

    async def _kill(self) -> None:
        self._process().send(signal.SIGKILL)

    async def _stop(self) -> None:
        self._process().send(signal.SIGTERM)

    async def _pause(self) -> None:
        process = self._process()
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self._draw.uniform(0.1, 3))
        process.send(signal.SIGCONT)

    async def _crash_server(self) -> None:
        server = self._draw.choice(self._world.servers)
        async with server.changing:
            await self._crash(server, self._draw.uniform(0.1, 2))

    async def _replace_server(self) -> None:
        server = self._draw.choice(self._world.servers)
        async with server.changing:
            self._world.list_server(server, 'draining')
            await asyncio.sleep(2.5)
            await self._crash(server, 0)

    async def _crash(self, server: SoakServer, away_seconds: float) -> None:
        await server.crash()
        await asyncio.sleep(away_seconds)
        self._world.store.drop('servers', server.instance)
        await server.start()
        self._world.list_server(server)

    async def _store_away(self) -> None:
        store = self._world.store
        store.fault = self._draw.choice(('busy', 'many', 'silent'))
        await asyncio.sleep(self._draw.uniform(0.2, 4))
        store.fault = ''

    async def _harm_way(self) -> None:
        """Harm one process's way to the store: the others reach it."""
        way = self._draw.choice(self._world.ways)
        harm = self._draw.choice(('freeze', 'cut', 'lose', 'delay'))
        seconds = self._draw.uniform(0.3, 6)
        match harm:
            case 'freeze':
                way.freeze()
            case 'cut':
                await way.cut()
            case 'lose':
                way.drop(Direction.TO_CALLER)
            case 'delay':
                way.delay_seconds = self._draw.uniform(0.05, 0.6)
        await asyncio.sleep(seconds)
        if harm == 'cut':
            await way.restore()
        way.thaw()
        way.stop_dropping()
        way.delay_seconds = 0

    async def _compact(self) -> None:
        self._world.configure()
        self._world.store.compact()

    async def _change(self) -> None:
        self._world.configure()

    async def _revoke(self) -> None:
        # Key 0 stays, so that there is always work for the engines.
        key = self._draw.choice(('key-1', 'key-2', 'key-3'))
        name = self._world.keys.pop(key, None)
        self._world.configure()
        await asyncio.sleep(_REVOKED_SECONDS)
        if name is not None:
            loop = asyncio.get_running_loop()
            began = loop.time() - _REVOKED_SECONDS
            late = (began + REVOKE_SECONDS, loop.time(), name)
            self._world.revoked.append(late)
            self._world.keys[key] = name
            self._world.configure()
