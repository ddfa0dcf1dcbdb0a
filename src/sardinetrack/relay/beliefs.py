"""What an entry believes of each backend server, by instance."""

from __future__ import annotations

from collections.abc import Collection

from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.cold import EntryCold
from sardinetrack.relay.lengths import AnswerLengths
from sardinetrack.relay.side_links import SideLinks
from sardinetrack.routing.breaker import Breaker
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.desk import LocalDesk


class ServerBeliefs:
    """Loads, breakers and own desks; made when they are first asked for."""

    def __init__(self, sides: SideLinks) -> None:
        """Start believing nothing.

        :param sides: tell how many entries there are.
        """
        self.cold = EntryCold(sides)
        self.lengths = AnswerLengths()
        self.loads: dict[str, ServerLoad] = {}
        self._breakers: dict[str, Breaker] = {}
        self._desks: dict[str, LocalDesk] = {}

    def __len__(self) -> int:
        """Count the servers of which something is believed."""
        return len({*self.loads, *self._breakers, *self._desks})

    def load(self, server: BackendServer) -> ServerLoad:
        """Find what is believed of a server's load."""
        load = self.loads.get(server.instance)
        if load is None:
            load = ServerLoad()
            self.loads[server.instance] = load
        return load

    def breaker(self, server: BackendServer) -> Breaker:
        """Find the breaker of a server."""
        breaker = self._breakers.get(server.instance)
        if breaker is None:
            breaker = Breaker()
            self._breakers[server.instance] = breaker
        return breaker

    def desk(
        self,
        server: BackendServer,
        pool: Pool,
        share: float,
    ) -> LocalDesk:
        """Find the own desk for a server whose side is away.

        :param share: the part of the server that is granted there.
        """
        desk = self._desks.get(server.instance)
        if desk is None:
            desk = LocalDesk()
            self._desks[server.instance] = desk
        desk.admission.resize(pool.slots, pool.memory_tokens, share)
        return desk

    def allows(self, now: float, server: BackendServer) -> bool:
        """Whether a server's breaker lets a request pass."""
        breaker = self._breakers.get(server.instance)
        return breaker is None or breaker.allows(now)

    def forget(self, instance: str) -> None:
        """Forget a server, or the former start of one."""
        for kept in (self.loads, self._breakers, self._desks):
            kept.pop(instance, None)

    def keep(self, instances: Collection[str]) -> None:
        """Forget all other servers.

        A send that ends after its server is gone makes some of these anew.
        """
        for kept in (self.loads, self._breakers, self._desks):
            for stale in set(kept) - set(instances):
                kept.pop(stale)
        self.cold.keep(instances)
