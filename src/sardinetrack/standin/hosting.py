"""Serve a stand-in and restart it after crashes."""

from __future__ import annotations

import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskStatus

from sardinetrack.http.server import serve
from sardinetrack.standin.base import StandIn


@asynccontextmanager
async def serve_standin(
    standin: StandIn,
    ip: str,
    port: int,
) -> AsyncIterator[str]:
    """Serve a stand-in while the context lasts.

    :param standin: the application; after a crash the port refuses
        connections for the faults' ``restart_seconds``, then it is served
        again.
    :param ip: IP address to listen at.
    :param port: 0 lets the system choose; a restart keeps the port.
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
    """Serve until cancelled; print the URL when ready."""
    async with serve_standin(standin, ip, port) as url:
        print_url(url)
        await anyio.sleep_forever()


def print_url(url: str) -> None:
    """Print the URL to standard output as one line of JSON."""
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
        async with serve(
            standin,
            ip,
            port,
            protocol=standin.connections.protocol(),
        ) as server:
            port = server.port
            if url is None:
                url = server.url
                task_status.started(url)
            await _wait_any(standin.crashed, stopping)
            standin.interrupt_all()
        if not stopping.is_set():
            await _wait_before_restart(
                standin.faults.current.restart_seconds, stopping
            )
        standin.restart()


async def _wait_any(*events: anyio.Event) -> None:
    async with anyio.create_task_group() as tasks:
        for event in events:
            tasks.start_soon(_cancel_after, event, tasks.cancel_scope)


async def _cancel_after(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _wait_before_restart(seconds: float, stopping: anyio.Event) -> None:
    with anyio.move_on_after(seconds):
        await stopping.wait()
