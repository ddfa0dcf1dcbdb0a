"""Connections of a stand-in, which a fault may cut."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar, Final, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

Peer = tuple[str, int]

_PEER_PARTS: Final = 2


class Connections:
    """Open connections by the peer's address."""

    def __init__(self) -> None:
        """Start with no connections."""
        self._transports: dict[Peer, asyncio.Transport] = {}
        self._refusing = False

    def protocol(self) -> type[asyncio.Protocol]:
        """Make a protocol class for uvicorn that registers here."""
        made = type('_Bound', (_RegisteredProtocol,), {'registry': self})
        return cast(type[asyncio.Protocol], made)

    def add(self, peer: Peer, transport: asyncio.Transport) -> None:
        """Register a connection, or cut it while all are refused."""
        if self._refusing:
            transport.abort()
            return
        self._transports[peer] = transport

    def discard(self, peer: Peer) -> None:
        """Forget a closed connection."""
        self._transports.pop(peer, None)

    def cut(self, peer: Peer) -> None:
        """Cut one connection at once."""
        transport = self._transports.get(peer)
        if transport is not None:
            transport.abort()

    def cut_all(self) -> None:
        """Cut every connection, and each new one until ``admit``."""
        self._refusing = True
        for transport in tuple(self._transports.values()):
            transport.abort()

    def admit(self) -> None:
        """Take connections again."""
        self._refusing = False


class _RegisteredProtocol(HttpToolsProtocol):
    registry: ClassVar[Connections]

    def connection_made(  # type: ignore[override]  # as uvicorn's own class
        self,
        transport: asyncio.Transport,
    ) -> None:
        super().connection_made(transport)
        self._peer = _peer(transport.get_extra_info('peername'))
        self.registry.add(self._peer, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.discard(self._peer)
        super().connection_lost(exc)


def _peer(address: Any) -> Peer:
    ip, port = address[:_PEER_PARTS]
    return (str(ip), int(port))
