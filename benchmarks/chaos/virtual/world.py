"""The fake fleet: three entries, four engines, two services, their sides."""

from __future__ import annotations

from random import Random
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from benchmarks.chaos.submission import MODEL, SERVICE
from benchmarks.chaos.virtual.catalogue import SLOTS, Catalogue
from benchmarks.chaos.virtual.entry import EntryNode
from benchmarks.chaos.virtual.network import Network
from benchmarks.chaos.virtual.node import Node
from benchmarks.chaos.virtual.outside import CallersNode, ServerNode
from benchmarks.chaos.virtual.platform import PlatformFaults
from benchmarks.chaos.virtual.side import SideNode
from sardinetrack.standin.base import StandIn
from sardinetrack.standin.engine import Engine
from sardinetrack.standin.engine_batch import EngineRates
from sardinetrack.standin.service import Service
from sardinetrack.standin.settings import EngineSettings, ServiceSettings
from sardinetrack.store.api import ListedInstance
from sardinetrack.store.in_process import MemoryPlatform

ENTRIES: Final = 3
ENGINES: Final = 4
SERVICES: Final = 2
_RATES: Final = EngineRates(base_token_seconds=0.04)
_CALLERS: Final = '10.0.0.3:80'


class World:
    """All nodes; a node that was killed is replaced at the same address."""

    def __init__(self, seed: int, tasks: TaskGroup) -> None:
        """Build a fleet that is not started; ``start`` starts it.

        :param seed: seed of everything drawn.
        :param tasks: runs the nodes.
        """
        self.random = Random(seed)
        self.network = Network(self.random)
        self.store = MemoryPlatform(clock=anyio.current_time)
        self.catalogue = Catalogue(self.store)
        self.platform_faults = PlatformFaults()
        self.callers = CallersNode(self.network, _CALLERS)
        self.entries: dict[str, EntryNode] = {}
        self.sides: dict[str, SideNode] = {}
        self.servers: dict[str, ServerNode] = {}
        self.standins: dict[str, StandIn] = {}
        self._tasks = tasks

    async def start(self) -> None:
        """Write the catalogue and start all nodes."""
        await self.catalogue.put_all()
        for number in range(ENGINES + SERVICES):
            self._add_server(number)
        for number in range(ENTRIES):
            address = f'10.0.1.{number}:80'
            name = f'entry-{number}'
            self._list(name, 'entry', address)
            self.start_entry(address, name)

    def start_entry(self, address: str, name: str) -> None:
        """Start an entry with no state."""
        node = EntryNode(
            self.network,
            address,
            name,
            self.store,
            self.platform_faults,
        )
        self.entries[address] = node
        self._run(node)

    def start_side(self, address: str, previous: SideNode) -> None:
        """Start a side again, with no state."""
        node = SideNode(
            self.network,
            address,
            previous.name,
            previous.pool,
            previous.backend,
        )
        self.sides[address] = node
        self._run(node)

    def start_server(self, address: str) -> None:
        """Start a backend server again; its counts stay."""
        standin = self.standins[address]
        node = ServerNode(self.network, address, standin)
        self.servers[address] = node
        self._run(node)

    def ready_entries(self) -> list[EntryNode]:
        """Return the entries to which the balancer sends callers."""
        return [
            node
            for node in self.entries.values()
            if node.is_listening and not node.components.status.read().not_ready
        ]

    def execution_counts(self) -> dict[str, int]:
        """Return the number of executions by key over all stand-ins."""
        counts: dict[str, int] = {}
        for standin in self.standins.values():
            for key, found in standin.executions.counts.items():
                counts[key] = counts.get(key, 0) + found.started
        return counts

    def leaks(self) -> list[str]:
        """Describe what is still occupied though no request is under way."""
        found = []
        for entry in self.entries.values():
            components = entry.components
            if components.dispatcher.open_requests() or components.gate.inside:
                found.append(f'{entry.name} has open requests')
            found.extend(self._entry_leaks(entry))
        for side in self.sides.values():
            load = side.admission.load()
            if load.running or load.free != SLOTS:
                found.append(' '.join((side.name, repr(load))))
        return found

    def _entry_leaks(self, entry: EntryNode) -> list[str]:
        status = entry.components.status.read()
        waits = [pool for pool in status.pools if pool.waiting or pool.running]
        found = [' '.join((entry.name, repr(pool))) for pool in waits]
        linked = sum(len(pool.sides) for pool in status.pools)
        if linked != ENGINES + SERVICES:
            found.append(f'{entry.name} is linked to {linked} sides')
        return found

    def _add_server(self, number: int) -> None:
        is_engine = number < ENGINES
        standin: Any = Service(ServiceSettings())
        if is_engine:
            standin = Engine(EngineSettings(model=MODEL, rates=_RATES))
        server = f'10.0.3.{number}:80'
        self.standins[server] = standin
        self.start_server(server)
        address = f'10.0.2.{number}:80'
        pool = MODEL if is_engine else SERVICE
        name = f'side-{number}'
        self._list(name, 'side', address, pool, f'server-{name}')
        first = SideNode(self.network, address, name, pool, server)
        self.sides[address] = first
        self._run(first)

    def _run(self, node: Node) -> None:
        self._tasks.start_soon(node.run)

    def _list(
        self,
        name: str,
        role: str,
        address: str,
        pool: str = '',
        server: str = '',
    ) -> None:
        row = ListedInstance(name, role, address, 'galata', pool, server)
        self.store.set_instance(row)
