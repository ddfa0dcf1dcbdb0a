"""The state of an entry: what it knows of the fleet, and what decides by it."""

from __future__ import annotations

from typing import Final

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.fairness.entry_service import EntryService
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.placement.prefix_index import PrefixCacheIndex
from sardinetrack.relay.connection_pool import ConnectionPool
from sardinetrack.relay.crashes import CrashWatch
from sardinetrack.relay.meters import Meters
from sardinetrack.relay.server_states import (
    ServerStates,
    ServerUnavailableError,
)
from sardinetrack.relay.settings import InstanceSettings
from sardinetrack.relay.side_links import INITIAL_ENTRIES, SideLinks
from sardinetrack.relay.stream_directory import StreamDirectory
from sardinetrack.routing.retries import RetryBudget
from sardinetrack.topology.configuration import (
    CallerLimits,
    Configuration,
    Pool,
)
from sardinetrack.topology.freshness import Freshness, boot_clock
from sardinetrack.topology.servers import BackendServer, ServerList
from sardinetrack.topology.starts import ServerStart
from sardinetrack.turns.driver import LocalAdmission
from sardinetrack.turns.side_state import RestartListener

_BUDGET_RATIO_FRACTION: Final = 0.8
_BUDGET_SLACK_FRACTION: Final = 0.6
"""Fractions of the fleet's retry budget that are used.

The rest covers the retries that a restarted entry counts from zero again, and
windows in which requests are spread unevenly over the entries.
"""
_MAX_SHARE_FACTOR: Final = 4.0
"""Equal shares of a server's connections that one entry may keep, but never
more than half of all."""
MIN_ALLOWED_FRACTION: Final = 0.5
"""If fewer of a pool's breakers are closed than this fraction, breakers are
ignored."""
ARRIVAL_SECONDS: Final = 0.2
"""Longest usual time for a request to arrive after it was checked."""
_DIGITS: Final = 3


class EntryState(RestartListener):
    """Configuration, servers, loads, breakers and budgets of one entry."""

    def __init__(self, settings: InstanceSettings, log: EventLog) -> None:
        """Start without a configuration or servers.

        :param settings: of this instance.
        :param log: receives the log events.
        """
        self.settings = settings
        self.log = log
        self.configuration: Configuration | None = None
        self.freshness = Freshness(settings.revoke_seconds)
        self.servers = ServerList()
        self.connections = ConnectionPool()
        self.service = EntryService()
        self.prefix_index = PrefixCacheIndex()
        self.meters = Meters()
        self.crashes = CrashWatch(log)
        self.sides = SideLinks(
            settings,
            self.prefix_index,
            self.crashes,
            self,
            log,
        )
        self.server_states = ServerStates(self.sides, self.connections)
        self._streams = StreamDirectory(
            self.sides, self.freshness, self.meters.streams, log
        )
        self._budgets: dict[str, RetryBudget] = {}
        self._known: dict[str, BackendServer] = {}

    def apply_settings(self, settings: InstanceSettings) -> list[str]:
        """Apply changed settings; changed addresses need a new process.

        :return: the names of the fields that have changed.
        """
        changed = settings.changed_from(self.settings)
        self.settings = settings
        self.freshness.set_bound(settings.revoke_seconds)
        return changed

    @property
    def caller_limits(self) -> CallerLimits:
        """The limits on what a caller may send."""
        configuration = self.configuration
        return CallerLimits() if configuration is None else configuration.limits

    @property
    def streams(self) -> StreamDirectory:
        """Which software began the streams of this and other entries."""
        return self._streams

    @property
    def entries(self) -> int:
        """The number of entries in the fleet, as the sides report it."""
        return self.sides.reported_entries or INITIAL_ENTRIES

    def active_configuration(self) -> Configuration:
        """Return the active configuration.

        :raises RequestError: there is none yet.
        """
        if self.configuration is None:
            raise RequestError(ErrorKind.NOT_RUN_PLATFORM_DOWN)
        return self.configuration

    def workspace_name(self, api_key: str | None) -> str:
        """Return the workspace of a key; empty if there is none."""
        if self.configuration is None:
            return ''
        workspace = self.configuration.workspace(api_key)
        return '' if workspace is None else workspace.name

    def local_admission(
        self, server: BackendServer, pool: Pool
    ) -> LocalAdmission:
        """Return the local admission for a server whose side is unreachable."""
        local_admission = self.server_states.local_admission(
            server, pool, 1 / self.entries
        )
        local_admission.set_cold_period(
            self.server_states.cold_starts.own_period(server, pool)
        )
        return local_admission

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains that get no new requests.

        The servers of a domain that is no longer evacuated may have become cold
        shortly before, and their records show that only seconds later.
        """
        ended = self.servers.evacuated - failure_domains
        begun = failure_domains - self.servers.evacuated
        if not ended and not begun:
            return
        self.servers.evacuate(failure_domains)
        for server, pool in self._model_servers():
            if server.failure_domain in ended:
                self.server_states.cold_starts.assume_cold(server, pool)
        self.log.write(
            Event.EVACUATION,
            begun=sorted(begun),
            ended=sorted(ended),
            in_force=sorted(failure_domains),
        )
        self.apply_server_changes()

    def connection_limit(self, server: BackendServer) -> float:
        """Return how many connections to a server this entry may keep.

        Callers are spread unevenly: an entry in a crowded domain has several
        times the mean. Limited to an equal share it would open new connections
        for many of its requests.
        """
        pool = self.active_configuration().pools.get(server.pool)
        if pool is None:
            return float('inf')
        share_factor = min(_MAX_SHARE_FACTOR, self.entries / 2)
        return share_factor * pool.max_connections / self.entries

    def budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool.

        This entry's part of the fleet's slack follows the number of entries:
        the one computed while few were known would be several times too large.
        """
        settings = self.settings
        slack = _BUDGET_SLACK_FRACTION * settings.retry_slack / self.entries
        burst = max(1, slack)
        ratio = _BUDGET_RATIO_FRACTION * settings.retry_ratio
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(ratio, burst)
            self._budgets[pool] = budget
        budget.resize(ratio, burst)
        return budget

    def usable_servers(
        self, now: float, pool: str, version: str | None = None
    ) -> list[BackendServer]:
        """List the servers of a pool that may be sent a request.

        Servers that rest are left out. If fewer than half of the breakers of
        the others are closed, all of these are used. The fault then lies not
        with single servers, and the few whose breakers happen to be closed
        would get the requests of all.

        :param version: of the software that began the stream; ``None`` for a
            request that continues none.
        """
        resting = self.server_states.rests.in_force(boot_clock())
        servers = [
            server
            for server in self.servers.in_pool(pool, version)
            if server.instance not in resting
        ]
        allowed = [
            server
            for server in servers
            if self.server_states.allows(now, server)
        ]
        few = len(allowed) < MIN_ALLOWED_FRACTION * len(servers)
        return servers if few else allowed

    def check_available(
        self, server: BackendServer, *, is_return: bool = False
    ) -> None:
        """Check that a server that was chosen before still gets requests.

        :param is_return: it goes on with a run of its own, which is allowed
            for a while after it has begun to leave.
        :raises ServerUnavailableError: it drains, is evacuated, rests or has
            restarted with other software.
        """
        if is_return:
            if self.is_superseded(server) or self._has_left(server):
                raise ServerUnavailableError
            return
        rests = self.server_states.rests
        left_seconds = rests.left_seconds(boot_clock(), server.instance)
        working = self.servers.get(server.instance)
        if left_seconds > 0 or working is None:
            raise ServerUnavailableError
        if working.version != server.version:
            raise ServerUnavailableError

    def rest_seconds(self, pool: str) -> float:
        """Return how long all servers of a pool rest; 0 if one does not."""
        now, rests = boot_clock(), self.server_states.rests
        return min(
            (
                rests.left_seconds(now, server.instance)
                for server in self.servers.in_pool(pool)
            ),
            default=0,
        )

    def started(self, start: ServerStart) -> None:
        """Handle a side's report that its server has restarted."""
        if self.servers.started(start):
            self.apply_server_changes()

    def mark_misaddressed(self, server: BackendServer) -> None:
        """Mark a server at whose address another server has responded."""
        self.servers.record_misaddressed(boot_clock(), server.instance)

    def mark_leaving(self, server: BackendServer) -> bool:
        """Mark a server that has said in a response that it leaves.

        :return: whether that was unknown.
        """
        news = self.servers.record_leaving(server.start)
        if news:
            # Logged with the request whose response says it.
            self.servers.leavings.take_news()
            self.apply_server_changes()
        return news

    def is_leaving(self, server: BackendServer) -> bool:
        """Whether this start of a server is known to leave."""
        listed = self.servers.instances.get(server.instance)
        if listed is None or not listed.leaving:
            return False
        return not listed.start.supersedes(server.start)

    def _has_left(self, server: BackendServer) -> bool:
        """Whether a request could arrive too late after a server's leaving."""
        accepted = self.servers.leavings.accepted_seconds(server.instance)
        if accepted is None:
            return False
        due_seconds = accepted + self.settings.drain_seconds
        return boot_clock() >= due_seconds - ARRIVAL_SECONDS

    def is_superseded(self, server: BackendServer) -> bool:
        """Whether a later start of the server is known."""
        listed = self.servers.instances.get(server.instance)
        return listed is not None and listed.start.supersedes(server.start)

    def servers_age_seconds(self) -> float:
        """Return the age of the list of servers, from its last confirmation."""
        return boot_clock() - self.servers.times.confirmed_seconds

    def _report_leavings(self) -> None:
        """Log by which way, and how late, each leaving was learned."""
        now = boot_clock()
        for leaving in self.servers.leavings.take_news():
            late_seconds = now - leaving.since_seconds
            self.meters.leavings_learned.add(late_seconds)
            self.log.write(
                Event.SERVER_LEAVING,
                server=leaving.instance,
                source=self.sides.views.source,
                listed=leaving.is_listed,
                revision=leaving.revision,
                late_seconds=round(late_seconds, _DIGITS),
            )

    def apply_server_changes(self) -> None:
        """Open links to new sides, forget removed servers."""
        self._report_leavings()
        for instance, known in self._known.items():
            if self.is_superseded(known):
                self._restarted(known, self.servers.instances[instance])
        listed = self.servers.instances
        self.server_states.cold_starts.update(listed.values())
        for server, pool in self._model_servers():
            cold = self.server_states.cold_starts.estimate(server, pool)
            load = self.sides.load(server, pool, cold)
            self.server_states.loads[server.instance] = load
        self._follow_leaving()
        self.sides.keep({one.ip for one in listed.values()})
        for removed in set(self._known) - set(listed):
            # The next server at its address starts with an empty cache.
            self.prefix_index.remove_server(self._known[removed].ip)
            if self._known[removed].leaving:
                self.crashes.forget(removed)
            else:
                self.sides.server_unreachable(removed, 'no longer listed')
            self.log.write(Event.SERVER_GONE, server=removed)
        self.server_states.keep(listed)
        self._streams.servers_listed(list(listed.values()))
        self._known = dict(listed)

    def expire_servers(self) -> None:
        """Drop servers that were not listed again after an outage.

        This goes by the clock, not by the store's responses: with few changes
        those are seconds apart, and until then requests would be sent to a
        server that has shut down.
        """
        if self.servers.expire(boot_clock()):
            self.apply_server_changes()

    def close(self) -> None:
        """Close the links to the sides."""
        self.sides.close()

    def _follow_leaving(self) -> None:
        """Open links to the sides of engines that leave.

        They know the streams of their engines, also for an entry that has
        started only after the engine announced that it leaves.
        """
        pools = self.configuration.pools if self.configuration else {}
        for server in self.servers.instances.values():
            pool = pools.get(server.pool)
            if server.leaving and pool is not None and pool.runs_models:
                self.sides.follow(server, pool)

    def _restarted(self, former: BackendServer, server: BackendServer) -> None:
        """Drop all state of a server's former start.

        With the former prefix index the server would be sent requests as if it
        had cached their prefixes; with the former breaker it would stay idle.
        The requests that ran when it crashed become suspect. The load of a
        model engine is reset with its link.
        """
        self.prefix_index.remove_server(former.ip)
        self.connections.forget(former.address)
        self.server_states.forget(server.instance)
        self.meters.restarts += 1
        self.log.write(
            Event.SERVER_RESTARTED,
            server=server.instance,
            started_milliseconds=server.started_milliseconds,
            former_milliseconds=former.started_milliseconds,
            revision=server.revision,
        )
        self.sides.server_unreachable(server.instance, 'has restarted')

    def _model_servers(self) -> list[tuple[BackendServer, Pool]]:
        pools = self.configuration.pools if self.configuration else {}
        return [
            (server, pool)
            for server in self.servers.instances.values()
            if (pool := pools.get(server.pool)) is not None
            and pool.runs_models
            and self.servers.get(server.instance) is not None
        ]
