"""What an entry may send by itself to servers in their cold start."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from sardinetrack.admission.cold_start import ColdStartLimiter
from sardinetrack.relay.side_links import INITIAL_ENTRIES, SideLinks
from sardinetrack.topology.cold import ColdEstimate, ColdPeriod, ColdServers
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.clock import loop_now


class ColdStartTracker:
    """Tracks which servers are cold, and this entry's fraction of their rate.

    Normally only the side of a server grants its permits. Where the side is
    unreachable, and at plain servers, which admit requests by themselves, each
    entry uses an equal fraction of the rate that a cold server can handle,
    rounded down. So all entries together stay within it: none knows what the
    others send there, and a fraction below one request would be sent by all of
    them at the same time.
    """

    def __init__(self, sides: SideLinks) -> None:
        """Track no servers yet.

        :param sides: report how many entries there are.
        """
        self._sides = sides
        self._servers = ColdServers()
        self._limiters: dict[str, ColdStartLimiter] = {}

    def update(self, servers: Iterable[BackendServer]) -> None:
        """Update the cold periods from the instance list."""
        for server in servers:
            self._servers.update_server(boot_clock(), server)

    def assume_cold(self, server: BackendServer, pool: Pool) -> None:
        """Assume that a server is as cold as after a start."""
        self._servers.assume_cold_for(
            boot_clock(),
            server.instance,
            pool.cold_seconds,
        )

    def estimate(self, server: BackendServer, pool: Pool) -> ColdEstimate:
        """Return what is known of a server's cold period, by the boot clock."""
        return self._servers.estimate_for(server.instance, pool.cold_per_second)

    def keep(self, instances: Collection[str]) -> None:
        """Forget all other servers."""
        self._servers.keep(instances)
        for stale in set(self._limiters) - set(instances):
            self._limiters.pop(stale)

    def own_period(self, server: BackendServer, pool: Pool) -> ColdPeriod:
        """Return a server's cold period with this entry's fraction of the rate.

        Its end is on the clock of the event loop.
        """
        entries = self._sides.reported_entries
        if entries is None and not pool.runs_models:
            entries = INITIAL_ENTRIES
        rate = int(pool.cold_per_second / entries) if entries else 0
        until_seconds = self.estimate(server, pool).period.until_seconds
        return ColdPeriod(
            until_seconds - boot_clock() + loop_now(),
            rate,
            closed=pool.cold_per_second > 0 and not rate,
        )

    def no_send_seconds(self, server: BackendServer, pool: Pool) -> float:
        """Return how long this entry alone may send a server nothing."""
        cold = self.own_period(server, pool)
        if not cold.closed:
            return 0
        return max(0, cold.until_seconds - loop_now())

    def accepts(self, server: BackendServer, pool: Pool) -> bool:
        """Whether this entry may send a plain server one more request."""
        if not pool.cold_per_second:
            return True
        if self.no_send_seconds(server, pool) > 0:
            return False
        now = loop_now()
        return self._limiter(server, pool).free_at_seconds(now) <= now

    def record_sent(self, server: BackendServer, pool: Pool) -> None:
        """Count a request to a plain server."""
        if pool.cold_per_second:
            self._limiter(server, pool).granted(loop_now())

    def _limiter(self, server: BackendServer, pool: Pool) -> ColdStartLimiter:
        limiter = self._limiters.setdefault(server.instance, ColdStartLimiter())
        limiter.update_cold_period(self.own_period(server, pool))
        return limiter
