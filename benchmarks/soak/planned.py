"""Planned work and silent servers, which excuse no lost request."""

from __future__ import annotations

import asyncio
import signal

from benchmarks.soak.faults import Faults
from benchmarks.soak.losses import GRACE_SECONDS
from benchmarks.soak.world import EMPTY_POOL, World

_SILENT_SECONDS = (0.5, 2.2)
_ROUTE_CHANGES = (
    {'timeoutMs': 6000},
    {'timeoutMs': 7000},
    {'service': EMPTY_POOL},
    None,
)


class PlannedWork(Faults):
    """Stops, signals, versions and silences, in series and overlapping."""

    def __init__(self, world: World, seed: int) -> None:
        """Build an injector that draws apart from that of the faults."""
        super().__init__(world, f'{seed} planned')
        self._kinds = (
            self._silence,
            self._silence_beside_version,
            self._silence_beside_version,
            self._stop,
            self._stop_in_turn,
            self._hang_up,
            self._change_route,
            self._reconfigure,
        )

    async def _silence(self) -> None:
        """Silence servers of one pool, all at once or one after the other."""
        plain = [one for one in self._world.servers if one.pool == 'plain']
        pool = self._rng.choice((self._world.engines, plain))
        servers = self._rng.sample(pool, self._rng.randint(1, len(pool)))
        in_turn = self._rng.choice((True, False))
        for server in servers:
            seconds = self._rng.uniform(*_SILENT_SECONDS)
            server.fall_silent(seconds)
            if in_turn:
                await asyncio.sleep(seconds)

    async def _silence_beside_version(self) -> None:
        await asyncio.gather(self._change_route(), self._silence())

    async def _change_route(self) -> None:
        """Change a route, or remove it, and restore it later."""
        routes = self._world.changed_routes
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        name = self._rng.choice(('stream', 'once', 'fetch', 'report'))
        routes[name] = self._rng.choice(_ROUTE_CHANGES)
        self._world.configure()
        await asyncio.sleep(self._rng.uniform(0.2, 3))
        routes.pop(name, None)
        self._world.configure()

    async def _stop_in_turn(self) -> None:
        """Stop the entries one after the other, before the last is back."""
        entries = self._world.entries
        for process in self._rng.sample(entries, len(entries)):
            process.send(signal.SIGTERM)
            await asyncio.sleep(self._rng.uniform(0.6, 7.5) / len(entries))
        await asyncio.sleep(GRACE_SECONDS)

    async def _hang_up(self) -> None:
        self._choose_process().send(signal.SIGHUP)
