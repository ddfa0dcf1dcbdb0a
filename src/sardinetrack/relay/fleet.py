"""What an entry knows of the fleet, and the objects that decide with it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.fairness.recent import RecentService
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.crashes import CrashWatch
from sardinetrack.relay.meters import Meters
from sardinetrack.relay.server_pool import ServerPool
from sardinetrack.relay.settings import NodeSettings
from sardinetrack.relay.side_links import SideLinks
from sardinetrack.routing.breaker import Breaker
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.topology.configuration import Configuration, Pool
from sardinetrack.topology.freshness import Freshness, boot_clock
from sardinetrack.topology.servers import BackendServer, ServerList
from sardinetrack.turns.desk import LocalDesk
from sardinetrack.turns.entry import SideLink

_KEPT_RATIO: Final = 0.8
_KEPT_SLACK: Final = 0.6
"""Parts of the fleet's retry budget that are given out.

The rest covers retries that a restarted entry counts anew and windows in
which the requests are spread unevenly over the entries.
"""
_MOST_SHARES: Final = 4.0
"""Even shares of a server's connections that one entry may keep, and never
more than half of them all."""
FIRST_ENTRIES: Final = 6
"""Entries taken to exist until a side has told how many it sees."""


class Fleet:
    """Configuration, servers, loads, breakers and budgets of one entry."""

    def __init__(self, settings: NodeSettings, log: EventLog) -> None:
        """Start knowing nothing."""
        self.settings = settings
        self.log = log
        self.configuration: Configuration | None = None
        self.freshness = Freshness(settings.revoke_seconds)
        self.servers = ServerList()
        self.connections = ServerPool()
        self.service = RecentService()
        self.holdings = Holdings()
        self.loads: dict[str, ServerLoad] = {}
        self.meters = Meters()
        self.crashes = CrashWatch()
        self.sides = SideLinks(settings, self.holdings, self.crashes, log)
        self._breakers: dict[str, Breaker] = {}
        self._desks: dict[str, LocalDesk] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._known: dict[str, BackendServer] = {}

    def reload(self, settings: NodeSettings) -> list[str]:
        """Take over changed settings; addresses need a new process.

        :return: the names of the fields that have changed.
        """
        changed = settings.changed_from(self.settings)
        self.settings = settings
        self.freshness.bound(settings.revoke_seconds)
        self._budgets.clear()
        return changed

    @property
    def entries(self) -> int:
        """Count the entries of the fleet, as the sides see them."""
        return self.sides.entries_seen or FIRST_ENTRIES

    def in_force(self) -> Configuration:
        """Return the configuration.

        :raises AnsweredError: there is none yet.
        """
        if self.configuration is None:
            raise AnsweredError(ErrorKind.NOT_RUN_PLATFORM_DOWN)
        return self.configuration

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

    def desk(self, server: BackendServer, pool: Pool) -> LocalDesk:
        """Find the own desk for a server whose side is away."""
        desk = self._desks.get(server.instance)
        if desk is None:
            desk = LocalDesk()
            self._desks[server.instance] = desk
        share = 1 / self.entries
        desk.admission.resize(pool.slots, pool.memory_tokens, share)
        return desk

    def connection_share(self, server: BackendServer) -> float:
        """Tell how many connections to a server this entry may keep.

        Callers are spread unevenly: an entry of a crowded domain has several
        times the mean. Held to an even share it opened half as many
        connections again (10,195 in place of 6,704 on the heaviest day of the
        users' grown Zagreb).
        """
        pool = self.in_force().pools.get(server.pool)
        if pool is None:
            return float('inf')
        shares = min(_MOST_SHARES, self.entries / 2)
        return shares * pool.max_connections / self.entries

    def side(self, server: BackendServer) -> SideLink | None:
        """Find the link to a server's side if it is live."""
        return self.sides.find(server.ip)

    def budget(self, pool: str) -> RetryBudget:
        """Find the retry budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            settings = self.settings
            slack = _KEPT_SLACK * settings.retry_slack / self.entries
            ratio = _KEPT_RATIO * settings.retry_ratio
            budget = RetryBudget(ratio, max(1, slack))
            self._budgets[pool] = budget
        return budget

    def usable(self, now: float, pool: str) -> list[BackendServer]:
        """List the servers of a pool that may be sent a request.

        When every breaker is open all servers are tried: they may be back,
        and to refuse for certain is no better than to fail perhaps.
        """
        servers = self.servers.of_pool(pool)
        breakers = self._breakers
        allowed = [
            server
            for server in servers
            if server.instance not in breakers
            or breakers[server.instance].allows(now)
        ]
        return allowed or list(servers)

    def servers_changed(self) -> None:
        """Open links to new sides, forget servers that are gone."""
        for server, pool in self._model_servers():
            self.loads[server.instance] = self.sides.load(server, pool)
        listed = self.servers.instances
        self.sides.keep({one.ip for one in listed.values()})
        for gone in set(self._known) - set(listed):
            # Whatever runs at its address next starts with an empty memory.
            self.holdings.lose(self._known[gone].ip)
            if self._known[gone].leaving:
                self.crashes.forget(gone)
            else:
                self.sides.server_away(gone, 'listed no more')
            self.log.write(Event.SERVER_GONE, server=gone)
        # A send that ends after its server is gone makes some of these anew.
        for kept in (self.loads, self._breakers, self._desks):
            for stale in set(kept) - set(listed):
                kept.pop(stale)
        self._known = dict(listed)

    def expire_servers(self) -> None:
        """Drop servers that did not come back after an outage.

        By the clock, not by the store's answers: in a quiet store these are
        seconds apart, and a server that has left would get work until then.
        """
        if self.servers.expire(boot_clock()):
            self.servers_changed()

    def close(self) -> None:
        """End the links to the sides."""
        self.sides.close()

    def _model_servers(self) -> Iterator[tuple[BackendServer, Pool]]:
        if self.configuration is None:
            return
        for server in self.servers.instances.values():
            pool = self.configuration.pools.get(server.pool)
            if pool is not None and pool.runs_models and not server.leaving:
                yield server, pool
