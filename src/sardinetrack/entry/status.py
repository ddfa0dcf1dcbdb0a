"""The status that an entry reports to operators: itself and its peers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import msgspec

from sardinetrack import __version__
from sardinetrack.entry.config_sync import ConfigSync
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.drain_gate import DrainGate
from sardinetrack.entry.linked_peers import LinkedPeers, LinkedSide
from sardinetrack.links.api import Hello, PeerRole


class SideStatus(msgspec.Struct, frozen=True):
    """One linked side."""

    side: str
    backend_server: str
    failure_domain: str
    in_use: bool
    """False while the side is draining: it gets no new requests."""
    phase: str
    limit: int
    running: int
    free: int


class PoolStatus(msgspec.Struct, frozen=True):
    """One pool, as this entry's routing sees it."""

    pool: str
    waiting: int
    running: int
    sides: tuple[SideStatus, ...]


class EntryPeerStatus(msgspec.Struct, frozen=True):
    """Another entry that is linked to this one."""

    instance: str
    revision: int
    digest: str


class RejectedStatus(msgspec.Struct, frozen=True):
    """A catalogue object that is not in effect."""

    key: str
    version: int
    reasons: tuple[str, ...]


class EntryStatus(msgspec.Struct, frozen=True):
    """The complete status of an entry."""

    instance: str
    role: str
    incarnation: str
    failure_domain: str
    version: str
    not_ready: tuple[str, ...]
    """Why the instance is not ready; empty when it is ready."""
    draining: bool
    open_requests: int
    revision: int
    digest: str
    pools: tuple[PoolStatus, ...]
    entries: tuple[EntryPeerStatus, ...]
    rejected: tuple[RejectedStatus, ...]


@dataclass(frozen=True, slots=True)
class StatusReader:
    """Collects the status from the entry's components."""

    hello: Hello
    config_sync: ConfigSync
    dispatcher: Dispatcher
    peers: LinkedPeers
    gate: DrainGate

    def read(self) -> EntryStatus:
        """Return the current status."""
        digest = self.config_sync.view.digest()
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
        if not self.config_sync.has_configuration:
            reasons.append('no configuration is in force')
        if not any(side.in_use for side in self.peers.sides()):
            reasons.append('no side is linked')
        return reasons

    def _pools(self) -> tuple[PoolStatus, ...]:
        works = Counter(
            (pending.work.pool, pending.running)
            for pending in self.dispatcher.pending_requests()
        )
        names = {pool.name for pool in self.config_sync.view.pools()}
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
            digest = self.config_sync.digest_of(name)
            revision = digest.revision if digest else 0
            text = digest.digest if digest else ''
            rows.append(EntryPeerStatus(name, revision, text))
        return tuple(rows)

    def _rejected(self) -> tuple[RejectedStatus, ...]:
        return tuple(
            RejectedStatus(row.key, row.version, row.reasons)
            for row in self.config_sync.view.rejected()
        )


def _side_status(side: LinkedSide) -> SideStatus:
    load = side.load
    return SideStatus(
        side=side.endpoint.name,
        backend_server=side.endpoint.backend_server,
        failure_domain=side.row.failure_domain,
        in_use=side.in_use,
        phase=load.phase.value if load else '',
        limit=load.limit if load else 0,
        running=load.running if load else 0,
        free=load.free if load else 0,
    )
