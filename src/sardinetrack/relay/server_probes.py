"""Finds out whether a server is still running."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final

from sardinetrack.relay.api import ProtocolAdapter, ServerReport
from sardinetrack.relay.connection_pool import (
    Address,
    ConnectionPool,
    NotConnectedError,
)
from sardinetrack.relay.server_report import fetch_report
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
        self,
        adapter: ProtocolAdapter,
        server: BackendServer,
        *,
        reports: bool,
    ) -> ServerReport | None:
        """Ask a server for its report.

        :param reports: it is a model engine, which has one; else it is enough
            that it accepts a connection.
        :return: ``None`` if no server responds at its address.
        """
        probe = self._next.get(server.address)
        if probe is None:
            probe = asyncio.create_task(self._probe(adapter, server, reports))
            self._next[server.address] = probe
        # A caller that leaves must not end the probe of the others.
        return await asyncio.shield(probe)

    async def _probe(
        self, adapter: ProtocolAdapter, server: BackendServer, reports: bool
    ) -> ServerReport | None:
        await asyncio.sleep(GATHER_SECONDS)
        self._next.pop(server.address)
        ask = partial(self._ask_in_time, adapter, server, reports)
        report = await ask()
        if report is not None and _leaves_soon(report):
            await asyncio.sleep(_REPORT_LAG_SECONDS)
            report = await ask()
        if report is not None and reports:
            self.reports[server.instance] = report
        return report

    async def _ask_in_time(
        self, adapter: ProtocolAdapter, server: BackendServer, reports: bool
    ) -> ServerReport | None:
        loop = asyncio.get_running_loop()
        due = loop.time() + RESPONSE_SECONDS
        while loop.time() < due:
            try:
                return await self._ask_once(adapter, server, reports, due)
            except NotConnectedError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return None
            await asyncio.sleep(_AGAIN_SECONDS)
        return None

    async def _ask_once(
        self,
        adapter: ProtocolAdapter,
        server: BackendServer,
        reports: bool,
        due: float,
    ) -> ServerReport:
        """Ask once.

        :param due: the end of the wait, on the clock of the event loop.
        :raises NotConnectedError: there is no answer.
        """
        lease = self._connections.lease(
            server.address, _keep_none, max_idle_seconds=0, request_id=''
        )
        async with lease as connection:
            if not reports:
                return ServerReport()
            left_seconds = due - asyncio.get_running_loop().time()
            reply = await fetch_report(
                connection, adapter, server, left_seconds
            )
        report = adapter.parse_report(reply.status, reply.body)
        if report is None:
            raise NotConnectedError(f'no report: status {reply.status}')
        return report


def _leaves_soon(report: ServerReport) -> bool:
    seconds = report.leaves_seconds
    return seconds is not None and seconds < _REPORT_LAG_SECONDS


def _keep_none() -> float:
    return 0
