"""Registry of a stand-in's connections, which a fault may abort."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar, Final, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

Peer = tuple[str, int]

_IP_AND_PORT: Final = 2


class ConnectionRegistry:
    """Open connections by the client's address."""

    def __init__(self) -> None:
        """Build an empty registry that accepts connections."""
        self._protocols: dict[Peer, _RegisteredProtocol] = {}
        self._refusing = False

    def protocol(self) -> type[asyncio.Protocol]:
        """Return a protocol class for uvicorn that registers here."""
        bound = type('_Bound', (_RegisteredProtocol,), {'registry': self})
        return cast(type[asyncio.Protocol], bound)

    def add(self, peer: Peer, protocol: _RegisteredProtocol) -> None:
        """Register a connection, or abort it while all are refused."""
        if self._refusing:
            protocol.transport.abort()
            return
        self._protocols[peer] = protocol

    def discard(self, peer: Peer) -> None:
        """Remove a closed connection."""
        self._protocols.pop(peer, None)

    def abort_peer(self, peer: Peer) -> None:
        """Abort the connection of one client, if it is open."""
        protocol = self._protocols.get(peer)
        if protocol is not None:
            protocol.transport.abort()

    def write_between_responses(self, peer: Peer, surplus: bytes) -> None:
        """Write to one client, unless a response to it is in progress."""
        protocol = self._protocols.get(peer)
        if protocol is not None and not protocol.is_responding:
            protocol.transport.write(surplus)

    def abort_all(self) -> None:
        """Abort all connections, and new ones until ``accept_again``."""
        self._refusing = True
        for protocol in tuple(self._protocols.values()):
            protocol.transport.abort()

    def accept_again(self) -> None:
        """Accept new connections again."""
        self._refusing = False


class _RegisteredProtocol(HttpToolsProtocol):
    registry: ClassVar[ConnectionRegistry]

    @property
    def is_responding(self) -> bool:
        """Whether a response has begun and is not complete."""
        cycle = self.cycle
        if cycle is None or not cycle.response_started:
            return False
        return not cycle.response_complete

    def connection_made(  # type: ignore[override]  # as uvicorn's own class
        self,
        transport: asyncio.Transport,
    ) -> None:
        super().connection_made(transport)
        self._peer = _peer(transport.get_extra_info('peername'))
        self.registry.add(self._peer, self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.discard(self._peer)
        super().connection_lost(exc)


def _peer(address: Any) -> Peer:
    ip, port = address[:_IP_AND_PORT]
    return (str(ip), int(port))
