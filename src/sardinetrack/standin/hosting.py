"""Serve a stand-in, through its crashes and restarts."""

from __future__ import annotations

import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskStatus

from sardinetrack.http.server import serving
from sardinetrack.standin.base import StandIn


@asynccontextmanager
async def hosting(
    standin: StandIn,
    ip: str,
    port: int,
) -> AsyncIterator[str]:
    """Serve a stand-in while the context lasts.

    :param standin: the application; after a crash the port refuses for the
        seconds that its faults say, then it is served again.
    :param ip: an IP number to listen at.
    :param port: 0 lets the system choose; a restart keeps the choice.
    :return: the base URL.
    """
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        url = await tasks.start(_serve, standin, ip, port, stopping)
        try:
            yield url
        finally:
            stopping.set()


async def run(standin: StandIn, ip: str, port: int) -> None:
    """Serve until cancelled; one line of JSON tells when it is ready."""
    async with hosting(standin, ip, port) as url:
        announce(url)
        await anyio.sleep_forever()


def announce(url: str) -> None:
    """Tell on standard output, as one line of JSON, where it is served."""
    line = json.dumps({'url': url})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def _serve(
    standin: StandIn,
    ip: str,
    port: int,
    stopping: anyio.Event,
    *,
    task_status: TaskStatus[str],
) -> None:
    url = None
    while not stopping.is_set():
        async with serving(
            standin,
            ip,
            port,
            protocol=standin.connections.protocol(),
        ) as server:
            port = server.port
            if url is None:
                url = server.url
                task_status.started(url)
            await _first(standin.crashed, stopping)
            standin.cut_all()
        if not stopping.is_set():
            await _pause(standin.faults.current.restart_seconds, stopping)
        standin.restart()


async def _first(*events: anyio.Event) -> None:
    async with anyio.create_task_group() as tasks:
        for event in events:
            tasks.start_soon(_wait, event, tasks.cancel_scope)


async def _wait(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _pause(seconds: float, stopping: anyio.Event) -> None:
    with anyio.move_on_after(seconds):
        await stopping.wait()
