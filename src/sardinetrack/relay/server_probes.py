"""Finds out whether a server is still running."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Final

from sardinetrack.relay.api import ProtocolAdapter, ServerReport
from sardinetrack.relay.connection_pool import ConnectionPool, NotConnectedError
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
"""A report is as old as some hundred milliseconds; a server that leaves cuts
what still runs then."""


class ServerProbes:
    """Sends one probe for all that ask about a server before it begins.

    One that has begun before a connection ended says nothing about that end: it
    may have been answered by a server that has crashed since.
    """

    def __init__(self, connections: ConnectionPool) -> None:
        """Use a pool of connections."""
        self._connections = connections
        self._next: dict[str, asyncio.Task[bool]] = {}

    async def is_running(
        self,
        adapter: ProtocolAdapter,
        server: BackendServer,
        *,
        reports: bool,
    ) -> bool:
        """Return whether the listed start of a server serves on.

        :param reports: it is a model engine, which reports its start; else it
            is enough that it accepts a connection.
        """
        probe = self._next.get(server.instance)
        if probe is None:
            probe = asyncio.create_task(self._probe(adapter, server, reports))
            self._next[server.instance] = probe
        # A caller that leaves must not end the probe of the others.
        return await asyncio.shield(probe)

    async def _probe(
        self, adapter: ProtocolAdapter, server: BackendServer, reports: bool
    ) -> bool:
        await asyncio.sleep(GATHER_SECONDS)
        self._next.pop(server.instance)
        loop = asyncio.get_running_loop()
        due = loop.time() + RESPONSE_SECONDS
        while loop.time() < due:
            try:
                return await self._ask(adapter, server, reports, due)
            except NotConnectedError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return False
            await asyncio.sleep(_AGAIN_SECONDS)
        return False

    async def _ask(
        self,
        adapter: ProtocolAdapter,
        server: BackendServer,
        reports: bool,
        due: float,
    ) -> bool:
        """Ask once.

        :param due: the end of the wait, on the clock of the event loop.
        :raises NotConnectedError: there is no answer.
        """
        lease = self._connections.lease(
            server.address, _keep_none, max_idle_seconds=0, request_id=''
        )
        async with lease as connection:
            if not reports:
                return True
            left_seconds = due - asyncio.get_running_loop().time()
            reply = await fetch_report(
                connection, adapter, server, left_seconds
            )
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            return False
        report = adapter.parse_report(reply.status, reply.body)
        if report is None:
            raise NotConnectedError(f'no report: status {reply.status}')
        return _is_serving(server, report)


def _is_serving(server: BackendServer, report: ServerReport) -> bool:
    """Whether a report is of the listed start, and it cuts no requests now."""
    leaves_seconds = report.leaves_seconds
    if leaves_seconds is not None and leaves_seconds < _REPORT_LAG_SECONDS:
        return False
    listed = server.started_milliseconds
    return listed is None or report.started_milliseconds == listed


def _keep_none() -> float:
    return 0
