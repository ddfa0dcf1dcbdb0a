"""Faults injected from outside, drawn from a seed; they overlap and repeat."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from random import Random

from benchmarks.soak.engine import SoakEngine, SoakServer
from benchmarks.soak.losses import Period
from benchmarks.soak.world import REVOKE_SECONDS, Process, World
from sardinetrack.standin.tcp_proxy import Direction, TcpProxy

_REVOKED_SECONDS = 8.0
"""How long a key stays revoked: the time until a revocation must take effect,
and time to check that it did."""


_DOWN_SECONDS = 0.5
"""How long engines that a prompt has crashed are down at least."""
_LEAVING_SECONDS = 3.0
"""How long leaving servers serve."""


class Faults:
    """Injects faults one after the other, without waiting for their ends."""

    def __init__(self, world: World, seed: int | str) -> None:
        """Build an injector.

        :param seed: seed of everything drawn.
        """
        self.done: list[str] = []
        self._gap_seconds = (0.2, 1.5)
        """Shortest and longest time between two faults."""
        self._world = world
        self._rng = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._kinds = (
            self._kill,
            self._pause,
            self._stop,
            self._crash_server,
            self._deadly_prompts,
            self._replace_server,
            self._replace_server,
            self._respond_twice,
            self._fail_requests,
            self._ask_for_rest,
            self._store_unreachable,
            self._impair_store_proxy,
            self._impair_store_proxy,
            self._compact,
            self._reconfigure,
            self._revoke,
        )

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all have ended."""
        async with asyncio.timeout(seconds + 20):
            deadline = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < deadline:
                kind = self._rng.choice(self._kinds)
                self.done.append(kind.__name__.strip('_'))
                task = asyncio.create_task(kind())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(self._rng.uniform(*self._gap_seconds))
            await asyncio.gather(*self._tasks)

    def _choose_process(self) -> Process:
        return self._rng.choice([*self._world.entries, *self._world.sides])

    async def _kill(self) -> None:
        process = self._choose_process()
        with lasting(process.disturbances.unplanned):
            process.send(signal.SIGKILL)

    async def _stop(self) -> None:
        self._choose_process().send(signal.SIGTERM)

    async def _pause(self) -> None:
        process = self._choose_process()
        with lasting(process.disturbances.unplanned):
            process.send(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 3))
            process.send(signal.SIGCONT)

    async def _crash_server(self) -> None:
        server = self._rng.choice(self._world.servers)
        async with server.restart_lock:
            await self._crash(server, self._rng.uniform(0.1, 2))

    async def _deadly_prompts(self) -> None:
        """Let one part of prompts crash each engine, for some seconds."""
        deadly = self._world.moves.deadly
        if deadly.part:
            return
        deadly.part = f'deadly{len(self.done)}'
        loop = asyncio.get_running_loop()
        ends_seconds = loop.time() + self._rng.uniform(1, 5)
        while loop.time() < ends_seconds:
            await self._revive_engines(deadly.crashed)
        deadly.part = ''
        await self._revive_engines(deadly.crashed)

    async def _revive_engines(self, crashed: asyncio.Queue[SoakEngine]) -> None:
        """Start the engines again that a prompt has crashed."""
        await asyncio.sleep(_DOWN_SECONDS)
        while not crashed.empty():
            engine = crashed.get_nowait()
            await self._restart(engine, 0)
            engine.restart_lock.release()

    async def _replace_server(self) -> None:
        # Engines more often: their streams move.
        server = self._rng.choice(self._world.servers + self._world.engines)
        async with server.restart_lock:
            server.notices.leaving = self._rng.choice((True, False))
            self._world.list_server(server, 'draining')
            server.leave()
            await asyncio.sleep(_LEAVING_SECONDS)
            server.notices.leaving = False
            await self._crash(server, 0)

    async def _crash(self, server: SoakServer, down_seconds: float) -> None:
        await server.crash()
        await self._restart(server, down_seconds)

    async def _restart(self, server: SoakServer, down_seconds: float) -> None:
        await asyncio.sleep(down_seconds)
        if server.started is None:
            self._world.store.drop('servers', server.instance)
        await server.start()
        if server.started is not None:
            # It serves before its record shows the new start.
            await asyncio.sleep(self._rng.uniform(0, 1))
        self._world.list_server(server)

    async def _respond_twice(self) -> None:
        server = self._rng.choice(self._world.servers)
        server.responds_twice = True
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        server.responds_twice = False

    async def _fail_requests(self) -> None:
        server = self._rng.choice(self._world.servers)
        server.fails = True
        await asyncio.sleep(self._rng.uniform(0.1, 2))
        server.fails = False

    async def _ask_for_rest(self) -> None:
        server = self._rng.choice(self._world.servers)
        now = asyncio.get_running_loop().time()
        server.rest_until_seconds = now + self._rng.uniform(0.5, 3)

    async def _store_unreachable(self) -> None:
        store = self._world.store
        with disturbed_store(self._world):
            store.fault = self._rng.choice(('busy', 'many', 'silent'))
            await asyncio.sleep(self._rng.uniform(0.2, 4))
            store.fault = ''

    async def _impair_store_proxy(self) -> None:
        """Impair the connection of one process to the store."""
        process = self._choose_process()
        with lasting(process.disturbances.store):
            await self._impair(process.store_proxy)

    async def _impair(self, proxy: TcpProxy) -> None:
        impairment = self._rng.choice(('freeze', 'cut', 'lose', 'delay'))
        seconds = self._rng.uniform(0.3, 6)
        match impairment:
            case 'freeze':
                proxy.freeze()
            case 'cut':
                await proxy.cut()
            case 'lose':
                proxy.drop(Direction.TO_CALLER)
            case 'delay':
                proxy.delay_seconds = self._rng.uniform(0.05, 0.6)
        await asyncio.sleep(seconds)
        if impairment == 'cut':
            await proxy.restore()
        proxy.thaw()
        proxy.stop_dropping()
        proxy.delay_seconds = 0

    async def _compact(self) -> None:
        self._world.configure()
        self._world.store.compact()

    async def _reconfigure(self) -> None:
        self._world.configure()

    async def _revoke(self) -> None:
        # Key 0 is never revoked, so that the engines always have work.
        key = self._rng.choice(('key-1', 'key-2', 'key-3'))
        name = self._world.keys.pop(key, None)
        self._world.configure()
        await asyncio.sleep(_REVOKED_SECONDS)
        if name is not None:
            loop = asyncio.get_running_loop()
            revoked_at = loop.time() - _REVOKED_SECONDS
            period = (revoked_at + REVOKE_SECONDS, loop.time(), name)
            self._world.revoked.append(period)
            self._world.keys[key] = name
            self._world.configure()


@contextmanager
def lasting(periods: list[Period]) -> Iterator[None]:
    """Record a fault, which lasts for the block."""
    loop = asyncio.get_running_loop()
    period = Period(loop.time())
    periods.append(period)
    yield
    period.ended_seconds = loop.time()


@contextmanager
def disturbed_store(world: World) -> Iterator[None]:
    """Record a fault of the store, for itself and for all processes."""
    with ExitStack() as stack:
        for one in (world.store, *world.entries, *world.sides):
            stack.enter_context(lasting(one.disturbances.store))
        yield
