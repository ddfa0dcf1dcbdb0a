"""Finds out whether a server is still running."""

from __future__ import annotations

import asyncio
from contextlib import AbstractAsyncContextManager
from dataclasses import replace
from typing import Final

from sardinetrack.relay.api import ProtocolAdapter, ServerReport
from sardinetrack.relay.connection_pool import (
    Address,
    ConnectionPool,
    NotConnectedError,
)
from sardinetrack.relay.response_collector import ResponseCollector
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.relay.server_report import fetch
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.servers import BackendServer

GATHER_SECONDS: Final = 0.02
"""Before a probe begins, for all whose connections end at the same moment.

A process that ends closes its connections and its listener one by one, and a
reset follows a close by a moment.
"""
RESPONSE_SECONDS: Final = 2.4
"""A sound server may be silent for so long and go on."""
_AGAIN_SECONDS: Final = 0.1
_REPORT_LAG_SECONDS: Final = 0.5
"""A report is as old as some hundred milliseconds. A server that leaves before
is asked again after it: at its end it cuts what still runs, and is gone."""


class ServerProbes:
    """Sends one probe for all that ask about a server before it begins.

    One that has begun before a connection ended says nothing about that end: it
    may have been answered by a server that has crashed since.
    """

    def __init__(self, connections: ConnectionPool) -> None:
        """Use a pool of connections."""
        self.reports: dict[str, ServerReport] = {}
        """The newest one by instance."""
        self._connections = connections
        self._next: dict[Address, asyncio.Task[ServerReport | None]] = {}

    async def ask(
        self, adapter: ProtocolAdapter, server: BackendServer, pool: Pool
    ) -> ServerReport | None:
        """Ask a server what it is.

        A model engine sends its report. One whose id is that of a single start
        is asked for this, and so is a plain service, which at least accepts a
        connection.

        :return: ``None`` if no server responds at its address.
        """
        probe = self._next.get(server.address)
        if probe is None:
            call = _Probe(self._connections, adapter, server, pool)
            probe = asyncio.create_task(self._run(call))
            self._next[server.address] = probe
        # A caller that leaves must not end the probe of the others.
        return await asyncio.shield(probe)

    async def _run(self, probe: _Probe) -> ServerReport | None:
        await asyncio.sleep(GATHER_SECONDS)
        self._next.pop(probe.server.address)
        report = await probe.ask()
        if report is not None and _leaves_soon(report):
            await asyncio.sleep(_REPORT_LAG_SECONDS)
            report = await probe.ask()
        if report is not None and probe.pool.runs_models:
            self.reports[probe.server.instance] = report
        return report


class _Probe:
    """The calls to one server."""

    def __init__(
        self,
        connections: ConnectionPool,
        adapter: ProtocolAdapter,
        server: BackendServer,
        pool: Pool,
    ) -> None:
        self.server = server
        self.pool = pool
        self._connections = connections
        self._adapter = adapter

    async def ask(self) -> ServerReport | None:
        """Ask again until there is an answer, or the time is over."""
        loop = asyncio.get_running_loop()
        due = loop.time() + RESPONSE_SECONDS
        while loop.time() < due:
            try:
                return await self._ask_once()
            except NotConnectedError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return None
            await asyncio.sleep(_AGAIN_SECONDS)
        return None

    async def _ask_once(self) -> ServerReport:
        """Ask once.

        :raises NotConnectedError: there is no answer.
        """
        instance = None
        if self.server.started_milliseconds is None and self.pool.health_path:
            health = self._adapter.encode_health_call(
                self.server, self.pool.health_path
            )
            reply = await self._send(health)
            instance = self._adapter.parse_instance(reply.headers)
        elif not self.pool.runs_models:
            async with self._lease():
                return ServerReport()
        if not self.pool.runs_models:
            return ServerReport(instance=instance)
        reply = await self._send(self._adapter.encode_report_call(self.server))
        report = self._adapter.parse_report(reply.status, reply.body)
        if report is None:
            raise NotConnectedError(f'no report: status {reply.status}')
        return replace(report, instance=instance)

    async def _send(self, call: bytes) -> ResponseCollector:
        async with self._lease() as connection:
            return await fetch(connection, call, RESPONSE_SECONDS)

    def _lease(self) -> AbstractAsyncContextManager[ServerConnection]:
        return self._connections.lease(
            self.server.address, _keep_none, max_idle_seconds=0, request_id=''
        )


def _leaves_soon(report: ServerReport) -> bool:
    seconds = report.leaves_seconds
    return seconds is not None and seconds < _REPORT_LAG_SECONDS


def _keep_none() -> float:
    return 0
