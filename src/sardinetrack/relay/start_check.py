"""Checks which start of a server responds on a connection."""

from __future__ import annotations

import asyncio
from typing import Final

from sardinetrack.relay.api import ProtocolAdapter
from sardinetrack.relay.connection_pool import NotConnectedError
from sardinetrack.relay.outcome_recorder import OutcomeRecorder
from sardinetrack.relay.response_collector import ResponseCollector
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.relay.target import Target
from sardinetrack.topology.servers import BackendServer

REPORT_SECONDS: Final = 0.3
"""Longest wait for the report; an engine responds within milliseconds."""
_MAX_REPORT_BYTES: Final = 1_048_576


async def check_start(
    connection: ServerConnection,
    adapter: ProtocolAdapter,
    target: Target,
    outcomes: OutcomeRecorder,
) -> None:
    """Check that the listed start of a server is at the end of a connection.

    A server may restart under its id with other software, and accepts what is
    sent to that id. All that is sent on one connection reaches one process, so
    the check holds for the request that follows.

    :param connection: newly opened.
    :param outcomes: told if another start responds.
    :raises ServerUnavailableError: another start responds.
    :raises NotConnectedError: none responds, or the connection closes then.
    """
    server = target.server
    reply = await _get_report(connection, adapter, server)
    started = adapter.parse_started(reply.status, reply.body)
    if started != server.started_milliseconds:
        outcomes.mark_misaddressed(
            target, 'another start responds at this address'
        )
        raise ServerUnavailableError
    if not connection.reusable:
        # A request would be written to nobody, and waited for as if it ran.
        raise NotConnectedError('closed after the report')


async def _get_report(
    connection: ServerConnection,
    adapter: ProtocolAdapter,
    server: BackendServer,
) -> ResponseCollector:
    reply = ResponseCollector(_MAX_REPORT_BYTES)
    connection.send(adapter.encode_report_call(server), reply)
    try:
        async with asyncio.timeout(REPORT_SECONDS):
            interrupted_by = await reply.done
    except TimeoutError as error:
        raise NotConnectedError('no report in time') from error
    if interrupted_by is not None:
        raise NotConnectedError(f'no report: {interrupted_by.value}')
    return reply
