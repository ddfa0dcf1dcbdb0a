"""The known state of each backend server, by instance."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.relay.cold_start import ColdStartTracker
from sardinetrack.relay.connection_pool import ConnectionPool
from sardinetrack.relay.lengths import OutputLengths
from sardinetrack.relay.move_limit import MoveLimit
from sardinetrack.relay.permit_numbers import PermitNumbers
from sardinetrack.relay.send_bound import SendBound
from sardinetrack.relay.server_probes import ServerProbes
from sardinetrack.relay.server_rest import ServerRests
from sardinetrack.relay.side_links import SideLinks
from sardinetrack.routing.breaker import Breaker
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.driver import LocalAdmission


class ServerUnavailableError(Exception):
    """The server gets no new requests since it was chosen; nothing was sent."""


class ServerStates:
    """Loads, breakers and local admissions, created on first use."""

    def __init__(self, sides: SideLinks, connections: ConnectionPool) -> None:
        """Track no servers yet.

        :param sides: report how many entries there are.
        :param connections: to the servers.
        """
        self.cold_starts = ColdStartTracker(sides)
        self.lengths = OutputLengths()
        self.rests = ServerRests()
        self.moves = MoveLimit()
        self.send_bound = SendBound()
        self.permit_numbers = PermitNumbers()
        self.probes = ServerProbes(connections)
        self.loads: dict[str, EstimatedLoad] = {}
        self._breakers: dict[str, Breaker] = {}
        self._local_admissions: dict[str, LocalAdmission] = {}

    def __len__(self) -> int:
        """Count the servers for which any state is kept."""
        kept = {*self.loads, *self._breakers, *self._local_admissions}
        return len(kept) + len(self.rests)

    @property
    def _kept(self) -> tuple[dict[str, Any], ...]:
        return (
            self.loads,
            self.probes.reports,
            self._breakers,
            self._local_admissions,
        )

    def load(self, server: BackendServer) -> EstimatedLoad:
        """Return the estimated load of a server."""
        load = self.loads.get(server.instance)
        if load is None:
            load = EstimatedLoad()
            self.loads[server.instance] = load
        return load

    def breaker(self, server: BackendServer) -> Breaker:
        """Return the breaker of a server."""
        breaker = self._breakers.get(server.instance)
        if breaker is None:
            breaker = Breaker()
            self._breakers[server.instance] = breaker
        return breaker

    def local_admission(
        self,
        server: BackendServer,
        pool: Pool,
        fraction: float,
    ) -> LocalAdmission:
        """Return the local admission for a server whose side is unreachable.

        :param fraction: the fraction of the server that this entry may grant.
        """
        local_admission = self._local_admissions.get(server.instance)
        if local_admission is None:
            local_admission = LocalAdmission()
            self._local_admissions[server.instance] = local_admission
        local_admission.admission.resize(
            pool.slots, pool.memory_tokens, fraction
        )
        return local_admission

    def allows(self, now: float, server: BackendServer) -> bool:
        """Whether a server's breaker lets a request pass."""
        breaker = self._breakers.get(server.instance)
        return breaker is None or breaker.allows(now)

    def forget(self, instance: str) -> None:
        """Forget a server, or its former start.

        A rest, of a few seconds, stays: it is not known which start asked.
        """
        for kept in self._kept:
            kept.pop(instance, None)

    def keep(self, instances: Collection[str]) -> None:
        """Forget all other servers.

        An attempt that ends after its server was removed creates state for it
        again.
        """
        for kept in self._kept:
            for stale in set(kept) - set(instances):
                kept.pop(stale)
        self.cold_starts.keep(instances)
        self.rests.keep(instances)
