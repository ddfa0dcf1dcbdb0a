"""What an entry knows of the fleet, and the objects that decide with it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.fairness.recent import RecentService
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.placement.holdings import Holdings
from sardinetrack.relay.beliefs import ServerBeliefs
from sardinetrack.relay.crashes import CrashWatch
from sardinetrack.relay.meters import Meters
from sardinetrack.relay.server_pool import ServerPool
from sardinetrack.relay.settings import NodeSettings
from sardinetrack.relay.side_links import FIRST_ENTRIES, SideLinks
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.topology.configuration import Configuration, Pool
from sardinetrack.topology.freshness import Freshness, boot_clock
from sardinetrack.topology.servers import BackendServer, ServerList
from sardinetrack.topology.starts import ServerStart
from sardinetrack.turns.desk import LocalDesk
from sardinetrack.turns.entry import Restarts, SideLink

_KEPT_RATIO: Final = 0.8
_KEPT_SLACK: Final = 0.6
"""Parts of the fleet's retry budget that are given out.

The rest covers retries that a restarted entry counts anew and windows in
which the requests are spread unevenly over the entries.
"""
_MOST_SHARES: Final = 4.0
"""Even shares of a server's connections that one entry may keep, and never
more than half of them all."""
LEAST_ALLOWED_PART: Final = 0.5
"""Part of a pool's servers below which breakers are not heeded."""


class Fleet(Restarts):
    """Configuration, servers, loads, breakers and budgets of one entry."""

    def __init__(self, settings: NodeSettings, log: EventLog) -> None:
        """Start knowing nothing."""
        self.settings = settings
        self.log = log
        self.configuration: Configuration | None = None
        self.freshness = Freshness(settings.revoke_seconds)
        self.servers = ServerList()
        self.connections = ServerPool()
        self.service = RecentService[str]()
        self.holdings = Holdings()
        self.meters = Meters()
        self.crashes = CrashWatch()
        self.sides = SideLinks(
            settings,
            self.holdings,
            self.crashes,
            self,
            log,
        )
        self.beliefs = ServerBeliefs(self.sides)
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

    def workspace_name(self, api_key: str | None) -> str:
        """Name who holds a key; empty for nobody."""
        configuration = self.configuration
        if configuration is None or api_key is None:
            return ''
        workspace = configuration.workspaces.get(api_key)
        return '' if workspace is None else workspace.name

    def desk(self, server: BackendServer, pool: Pool) -> LocalDesk:
        """Find the own desk for a server whose side is away."""
        desk = self.beliefs.desk(server, pool, 1 / self.entries)
        desk.cool(self.beliefs.cold.own(server, pool))
        return desk

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Take over which failure domains get no new work.

        The servers of one that takes part again may have become cold shortly
        before, and their entries tell that seconds later.
        """
        ended = self.servers.evacuated - failure_domains
        begun = failure_domains - self.servers.evacuated
        if not ended and not begun:
            return
        self.servers.evacuate(failure_domains)
        for server, pool in self._model_servers():
            if server.failure_domain in ended:
                self.beliefs.cold.presume(server, pool)
        self.log.write(
            Event.EVACUATION,
            begun=sorted(begun),
            ended=sorted(ended),
            in_force=sorted(failure_domains),
        )
        self.servers_changed()

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

        When fewer than half of the breakers are closed all servers are tried.
        Then it is not single servers that fail, and the few whose breakers
        happen to be closed would get the work of all.
        """
        servers = self.servers.of_pool(pool)
        allowed = [
            server for server in servers if self.beliefs.allows(now, server)
        ]
        few = len(allowed) < LEAST_ALLOWED_PART * len(servers)
        return list(servers) if few else allowed

    def started(self, start: ServerStart) -> None:
        """Take a side's word that its server has started anew."""
        if self.servers.started(start):
            self.servers_changed()

    def disown(self, server: BackendServer) -> None:
        """Note that another server has answered at a server's address."""
        self.servers.disown(boot_clock(), server.instance)

    def is_over(self, server: BackendServer) -> bool:
        """Whether that start of a server has been followed by another."""
        listed = self.servers.instances.get(server.instance)
        return listed is not None and listed.start.supersedes(server.start)

    def servers_changed(self) -> None:
        """Open links to new sides, forget servers that are gone."""
        for instance, known in self._known.items():
            if self.is_over(known):
                self._restarted(known, self.servers.instances[instance])
        listed = self.servers.instances
        self.beliefs.cold.hear(listed.values())
        for server, pool in self._model_servers():
            cold = self.beliefs.cold.word(server, pool)
            load = self.sides.load(server, pool, cold)
            self.beliefs.loads[server.instance] = load
        self.sides.keep({one.ip for one in listed.values()})
        for gone in set(self._known) - set(listed):
            # Whatever runs at its address next starts with an empty memory.
            self.holdings.lose(self._known[gone].ip)
            if self._known[gone].leaving:
                self.crashes.forget(gone)
            else:
                self.sides.server_away(gone, 'listed no more')
            self.log.write(Event.SERVER_GONE, server=gone)
        self.beliefs.keep(listed)
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

    def _restarted(self, former: BackendServer, server: BackendServer) -> None:
        """Drop all that was believed of a server's former start.

        With its old holdings a server would be sent requests as if it had
        read their prompts; with its old breaker it would stand idle. What
        crashed with it is suspected; the load of a model engine is renewed
        with its link.
        """
        self.holdings.lose(former.ip)
        self.connections.forget(former.address)
        self.beliefs.forget(server.instance)
        self.meters.restarts += 1
        self.log.write(
            Event.SERVER_RESTARTED,
            server=server.instance,
            started_milliseconds=server.started_milliseconds,
            former_milliseconds=former.started_milliseconds,
            revision=server.revision,
        )
        self.sides.server_away(server.instance, 'started anew')

    def _model_servers(self) -> Iterator[tuple[BackendServer, Pool]]:
        if self.configuration is None:
            return
        for server in self.servers.instances.values():
            pool = self.configuration.pools.get(server.pool)
            works = self.servers.get(server.instance) is not None
            if pool is not None and pool.runs_models and works:
                yield server, pool
