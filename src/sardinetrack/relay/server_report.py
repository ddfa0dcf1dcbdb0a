"""Fetches the report of a server on a connection of its own."""

from __future__ import annotations

import asyncio
from typing import Final

from sardinetrack.relay.api import ProtocolAdapter
from sardinetrack.relay.connection_pool import NotConnectedError
from sardinetrack.relay.response_collector import ResponseCollector
from sardinetrack.relay.server_connection import ServerConnection
from sardinetrack.topology.servers import BackendServer

_MAX_REPORT_BYTES: Final = 1_048_576


async def fetch_report(
    connection: ServerConnection,
    adapter: ProtocolAdapter,
    server: BackendServer,
    seconds: float,
) -> ResponseCollector:
    """Call for the report of a server.

    :param connection: newly opened.
    :param seconds: the longest wait.
    :raises NotConnectedError: there is no whole response in time.
    """
    return await fetch(connection, adapter.encode_report_call(server), seconds)


async def fetch(
    connection: ServerConnection, call: bytes, seconds: float
) -> ResponseCollector:
    """Call a server.

    :param connection: no request with an id was sent on it.
    :param seconds: the longest wait.
    :raises NotConnectedError: there is no whole response in time.
    """
    reply = ResponseCollector(_MAX_REPORT_BYTES)
    connection.send(call, reply)
    try:
        async with asyncio.timeout(seconds):
            interrupted_by = await reply.done
    except TimeoutError as error:
        raise NotConnectedError('no report in time') from error
    if interrupted_by is not None:
        raise NotConnectedError(f'no report: {interrupted_by.value}')
    return reply
