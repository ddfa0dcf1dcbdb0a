"""Checks which start of a server responds on a connection."""

from __future__ import annotations

from typing import Final

from sardinetrack.relay.api import ProtocolAdapter, ServerReport
from sardinetrack.relay.connection_pool import NotConnectedError
from sardinetrack.relay.outcome_recorder import OutcomeRecorder
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.relay.server_report import fetch_report
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.relay.target import Target

REPORT_SECONDS: Final = 0.3
"""Longest wait for the report; an engine responds within milliseconds."""


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
    reply = await fetch_report(connection, adapter, server, REPORT_SECONDS)
    report = adapter.parse_report(reply.status, reply.body) or ServerReport()
    if report.started_milliseconds != server.started_milliseconds:
        outcomes.mark_misaddressed(
            target, 'another start responds at this address'
        )
        raise ServerUnavailableError
    if not connection.reusable:
        # A request would be written to nobody, and waited for as if it ran.
        raise NotConnectedError('closed after the report')
