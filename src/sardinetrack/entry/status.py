"""What an entry tells operators about itself and its peers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import msgspec

from sardinetrack import __version__
from sardinetrack.entry.configuration import ConfigExchange
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.gate import Gate
from sardinetrack.entry.linked import LinkedPeers, LinkedSide
from sardinetrack.links.api import Hello, PeerRole


class SideStatus(msgspec.Struct, frozen=True):
    """One linked side."""

    side: str
    backend_server: str
    failure_domain: str
    in_use: bool
    """False while it leaves: it gets no new work."""
    phase: str
    limit: int
    running: int
    free: int


class PoolStatus(msgspec.Struct, frozen=True):
    """One pool, as this entry sees it."""

    pool: str
    waiting: int
    running: int
    sides: tuple[SideStatus, ...]


class EntryPeerStatus(msgspec.Struct, frozen=True):
    """Another entry."""

    instance: str
    revision: int
    digest: str


class RejectedStatus(msgspec.Struct, frozen=True):
    """A catalogue entry that is not in force."""

    key: str
    version: int
    reasons: tuple[str, ...]


class EntryStatus(msgspec.Struct, frozen=True):
    """The whole status."""

    instance: str
    role: str
    incarnation: str
    failure_domain: str
    version: str
    not_ready: tuple[str, ...]
    """Why the instance is not ready; empty when it is."""
    draining: bool
    open_requests: int
    revision: int
    digest: str
    pools: tuple[PoolStatus, ...]
    entries: tuple[EntryPeerStatus, ...]
    rejected: tuple[RejectedStatus, ...]


@dataclass(frozen=True, slots=True)
class StatusReader:
    """Collects the status."""

    hello: Hello
    exchange: ConfigExchange
    dispatcher: Dispatcher
    peers: LinkedPeers
    gate: Gate

    def read(self) -> EntryStatus:
        """Describe the present state."""
        digest = self.exchange.view.digest()
        return EntryStatus(
            instance=self.hello.instance,
            role=self.hello.role.value,
            incarnation=self.hello.incarnation,
            failure_domain=self.hello.failure_domain,
            version=__version__,
            not_ready=tuple(self._not_ready()),
            draining=self.gate.draining,
            open_requests=self.dispatcher.open_requests(),
            revision=digest.revision,
            digest=digest.digest,
            pools=self._pools(),
            entries=self._entries(),
            rejected=self._rejected(),
        )

    def _not_ready(self) -> list[str]:
        reasons = []
        if self.gate.draining:
            reasons.append('the instance is shutting down')
        if not self.exchange.in_force:
            reasons.append('no configuration is in force')
        if not any(side.in_use for side in self.peers.sides()):
            reasons.append('no side is linked')
        return reasons

    def _pools(self) -> tuple[PoolStatus, ...]:
        works = Counter(
            (ticket.work.pool, ticket.running)
            for ticket in self.dispatcher.tickets()
        )
        names = {pool.name for pool in self.exchange.view.pools()}
        names.update(side.row.pool for side in self.peers.sides())
        return tuple(
            PoolStatus(
                name,
                waiting=works[name, False],
                running=works[name, True],
                sides=tuple(
                    _side_status(side)
                    for side in self.peers.sides()
                    if side.row.pool == name
                ),
            )
            for name in sorted(names)
        )

    def _entries(self) -> tuple[EntryPeerStatus, ...]:
        rows = []
        for link in self.peers.links(PeerRole.ENTRY):
            name = link.peer.instance
            digest = self.exchange.digest_of(name)
            revision = digest.revision if digest else 0
            text = digest.digest if digest else ''
            rows.append(EntryPeerStatus(name, revision, text))
        return tuple(rows)

    def _rejected(self) -> tuple[RejectedStatus, ...]:
        return tuple(
            RejectedStatus(row.key, row.version, row.reasons)
            for row in self.exchange.view.rejected()
        )


def _side_status(side: LinkedSide) -> SideStatus:
    load = side.load
    return SideStatus(
        side=side.known.name,
        backend_server=side.known.backend_server,
        failure_domain=side.row.failure_domain,
        in_use=side.in_use,
        phase=load.phase.value if load else '',
        limit=load.limit if load else 0,
        running=load.running if load else 0,
        free=load.free if load else 0,
    )
