"""Calls to engines that copy the KV cache of a running request."""

from __future__ import annotations

import asyncio
from typing import Final

from sardinetrack.relay.api import (
    KvMoveReply,
    KvMoveResult,
    KvSource,
    ProtocolAdapter,
)
from sardinetrack.relay.connection_pool import (
    Address,
    ConnectionPool,
    NotConnectedError,
)
from sardinetrack.relay.response_collector import ResponseCollector
from sardinetrack.topology.servers import BackendServer

COPY_SECONDS: Final = 1.0
"""Longest wait for a copy. A leaving engine serves for 3 s, of which one passes
before a move; two copies, the second of them short, have to fit into the rest.
"""
RELEASE_SECONDS: Final = 0.3
"""Longest wait for the release of a copy, which would expire anyway."""
_MAX_BODY_BYTES: Final = 65_536


class KvCalls:
    """Sends each call on a connection of its own.

    The responses bear no request id. On a connection that was used before, a
    late second response to another call could be taken for the response to this
    one, and a stream would continue from the copy of another request.
    """

    def __init__(
        self, connections: ConnectionPool, adapter: ProtocolAdapter
    ) -> None:
        """Use a pool of connections.

        :param adapter: encodes the calls.
        """
        self._connections = connections
        self._adapter = adapter

    async def copy(
        self,
        request_id: str,
        source: BackendServer,
        destination: BackendServer,
        *,
        last: bool,
    ) -> KvMoveReply:
        """Copy the KV cache of a running request, again only what is new.

        :param last: stop the run before.
        """
        call = self._adapter.encode_kv_move(
            request_id, source, destination, last=last
        )
        try:
            reply = await self._send(source.address, call, COPY_SECONDS)
        except NotConnectedError as error:
            return KvMoveReply(KvMoveResult.NOT_SENT, cause=str(error))
        except TimeoutError:
            cause = 'no response in time'
            return KvMoveReply(KvMoveResult.PENDING, cause=cause)
        interrupted_by = reply.done.result()
        if interrupted_by is not None:
            cause = interrupted_by.value
            return KvMoveReply(KvMoveResult.FAILED, cause=cause)
        return self._adapter.parse_kv_move(reply.status, reply.body)

    async def release(self, copy: KvSource) -> bool:
        """Free a copy at both engines.

        :return: whether there was a response; otherwise the copy expires.
        """
        call = self._adapter.encode_kv_release(copy)
        try:
            reply = await self._send(copy.server.address, call, RELEASE_SECONDS)
        except (NotConnectedError, TimeoutError):
            return False
        return reply.done.result() is None

    async def _send(
        self, address: Address, call: bytes, seconds: float
    ) -> ResponseCollector:
        reply = ResponseCollector(_MAX_BODY_BYTES)
        async with (
            asyncio.timeout(seconds),
            self._connections.lease(
                address, _keep_none, max_idle_seconds=0, request_id=''
            ) as connection,
        ):
            connection.send(call, reply)
            await reply.done
        return reply


class HeldCopies:
    """The copies that one stream may continue from; the last one is used."""

    def __init__(self, calls: KvCalls) -> None:
        """Hold none.

        :param calls: free the copies.
        """
        self._calls = calls
        self._copies: list[KvSource] = []

    def __len__(self) -> int:
        """Count the copies that were not used or freed."""
        return len(self._copies)

    @property
    def newest(self) -> KvSource:
        """The copy that is used."""
        return self._copies[-1]

    def add(self, copy: KvSource) -> None:
        """Hold a copy that may be the same as before."""
        if copy in self._copies:
            self._copies.remove(copy)
        self._copies.append(copy)

    def use(self) -> None:
        """Record that an engine continues from the newest copy."""
        self._copies.clear()

    async def free(self) -> None:
        """Free the copies; those that can't be freed now expire."""
        for copy in list(self._copies):
            if await self._calls.release(copy):
                self._copies.remove(copy)


def _keep_none() -> float:
    return 0
