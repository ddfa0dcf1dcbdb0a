"""Starts that are disturbed: signals, torn settings, ports that are taken."""

from __future__ import annotations

import asyncio
import signal
import socket
from contextlib import suppress

from benchmarks.soak.faults import Faults, lasting
from benchmarks.soak.world import Process, World

_HANG_UPS = 10
_HANG_UP_INTERVAL_SECONDS = 0.03
_POLL_SECONDS = 0.005
_POLLS = 400
_HELD_SECONDS = 1.0
_ORDERLY_ENDS = frozenset((0, -signal.SIGKILL))


class Starts(Faults):
    """Disturbs the starts of processes; each must start nevertheless."""

    def __init__(self, world: World, seed: int) -> None:
        """Build an injector that draws apart from the others."""
        super().__init__(world, f'{seed} starts')
        self._kinds = (
            self._hang_up_at_start,
            self._tear_settings,
            self._hold_port,
            self._stop,
        )

    async def _hang_up_at_start(self) -> None:
        """Signal changed settings from the moment that a start can know it."""
        process = self._choose_process()
        with lasting(process.disturbances.unplanned):
            process.send(signal.SIGKILL)
            await asyncio.sleep(_POLL_SECONDS)
            await _until_caught(process)
        for _ in range(_HANG_UPS):
            process.send(signal.SIGHUP)
            await asyncio.sleep(_HANG_UP_INTERVAL_SECONDS)

    async def _tear_settings(self) -> None:
        """Let a process see its settings in the middle of a write."""
        process = self._choose_process()
        process.tear_settings()
        process.send(signal.SIGHUP)
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        process.write_settings()

    async def _hold_port(self) -> None:
        """Hold a port that a process needs for its next start."""
        process = self._choose_process()
        with lasting(process.disturbances.unplanned):
            process.send(signal.SIGKILL)
            holder = await _take_port(process)
            if holder is not None:
                with holder:
                    await asyncio.sleep(_HELD_SECONDS)


def own_ends(world: World) -> list[str]:
    """Describe the processes that ended by themselves."""
    return [
        f'{process.role} {process.ip} ended by itself with code {code}'
        for process in (*world.entries, *world.sides)
        for code in process.ends
        if code not in _ORDERLY_ENDS
    ]


async def _until_caught(process: Process) -> None:
    for _ in range(_POLLS):
        if process.catches_signals():
            return
        await asyncio.sleep(_POLL_SECONDS)


async def _take_port(process: Process) -> socket.socket | None:
    for _ in range(_POLLS):
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):
            holder.bind((process.ip, process.port))
            holder.listen()
            return holder
        holder.close()
        await asyncio.sleep(_POLL_SECONDS)
    return None
