"""What an entry by itself may send to cold servers."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from sardinetrack.admission.warming import WarmTurns
from sardinetrack.relay.side_links import FIRST_ENTRIES, SideLinks
from sardinetrack.topology.cold import Cold, ColdServers, ColdWord
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.clock import loop_now


class EntryCold:
    """Knows which servers are cold, and this entry's part of what they bear.

    A side alone gives the turns at its server. Where it is away, and at
    servers that admit by themselves, each entry takes its even part of what a
    cold server bears, rounded down, so that all of them together stay within
    it: none knows what the others send there, and a part below one would be
    sent by all at once.
    """

    def __init__(self, sides: SideLinks) -> None:
        """Know of none.

        :param sides: tell how many entries there are.
        """
        self._sides = sides
        self._servers = ColdServers()
        self._paces: dict[str, WarmTurns] = {}

    def hear(self, servers: Iterable[BackendServer]) -> None:
        """Take the entries of the list."""
        for server in servers:
            self._servers.hear(boot_clock(), server)

    def presume(self, server: BackendServer, pool: Pool) -> None:
        """Take a server for as cold as after a start."""
        self._servers.presume(
            boot_clock(),
            server.instance,
            pool.cold_seconds,
        )

    def word(self, server: BackendServer, pool: Pool) -> ColdWord:
        """Tell what is known of a server, by the boot clock."""
        return self._servers.word(server.instance, pool.cold_per_second)

    def keep(self, instances: Collection[str]) -> None:
        """Forget all other servers."""
        self._servers.keep(instances)
        for stale in set(self._paces) - set(instances):
            self._paces.pop(stale)

    def own(self, server: BackendServer, pool: Pool) -> Cold:
        """Tell how long a server is cold, and this entry's part of its turns.

        By the clock of the event loop.

        The part is 0 where nothing may be sent.
        """
        entries = self._sides.entries_seen
        if entries is None and not pool.runs_models:
            entries = FIRST_ENTRIES
        share = int(pool.cold_per_second / entries) if entries else 0
        until_seconds = self.word(server, pool).cold.until_seconds
        return Cold(until_seconds - boot_clock() + loop_now(), share)

    def shut_out_seconds(self, server: BackendServer, pool: Pool) -> float:
        """Tell how long this entry may send nothing to a server by itself."""
        if not pool.cold_per_second:
            return 0
        cold = self.own(server, pool)
        if cold.per_second:
            return 0
        return max(0, cold.until_seconds - loop_now())

    def bears(self, server: BackendServer, pool: Pool) -> bool:
        """Whether a server that admits by itself takes one more now."""
        if not pool.cold_per_second:
            return True
        if self.shut_out_seconds(server, pool) > 0:
            return False
        now = loop_now()
        return self._pace(server, pool).free_at_seconds(now) <= now

    def sent(self, server: BackendServer, pool: Pool) -> None:
        """Note a request to a server that admits by itself."""
        if pool.cold_per_second:
            self._pace(server, pool).granted(loop_now())

    def _pace(self, server: BackendServer, pool: Pool) -> WarmTurns:
        pace = self._paces.setdefault(server.instance, WarmTurns())
        pace.cool(self.own(server, pool))
        return pace
