"""The connections of one entry to the sides of all model engines."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.messages.api import Strike
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prefix_index import PrefixCacheIndex
from sardinetrack.placement.rendezvous import rendezvous_order
from sardinetrack.relay.crashes import CrashWatch
from sardinetrack.relay.settings import InstanceSettings
from sardinetrack.topology.cold import ColdEstimate
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.pool_versions import PoolVersions
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.messages import Hello, PartsReported, StrikesReported
from sardinetrack.turns.side_link import SideLink
from sardinetrack.turns.side_state import (
    PartBroadcaster,
    RestartListener,
    SideState,
)
from sardinetrack.views.api import NullViewReceiver, ViewReceiver

INITIAL_ENTRIES: Final = 6
"""Assumed number of entries until a side has reported how many it sees."""
MAX_LOGGED_RUNS: Final = 16
"""Requests that a line about a crash names."""
_BROADCAST_KEY: Final = '*'


def broadcast_sides(links: Iterable[SideLink]) -> list[SideLink]:
    """Choose the sides that pass strikes on to all entries.

    One of each failure domain: if a single side were used and it had just
    stalled or been disconnected, no entry would receive them.

    :param links: to the sides that can be reached.
    """
    by_name = {link.name: link for link in links}
    chosen: dict[str, SideLink] = {}
    for name in rendezvous_order(_BROADCAST_KEY, by_name):
        link = by_name[name]
        chosen.setdefault(link.failure_domain, link)
    return list(chosen.values())


class SideLinks(PartBroadcaster):
    """Owns a connection to each side, by the address of its engine."""

    def __init__(
        self,
        settings: InstanceSettings,
        prefix_index: PrefixCacheIndex,
        crashes: CrashWatch,
        restarts: RestartListener,
        log: EventLog,
    ) -> None:
        """Start without links.

        :param restarts: is called when a side knows a later start of its
            server.
        """
        self.views: ViewReceiver = NullViewReceiver()
        self.versions = PoolVersions()
        """Software versions that served the pools lately."""
        self._settings = settings
        self._prefix_index = prefix_index
        self._crashes = crashes
        crashes.quarantine.broadcaster = self
        self._restarts = restarts
        self._log = log
        self._listed: frozenset[str] = frozenset()
        self._links: dict[str, SideLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def live(self) -> list[SideLink]:
        """List the links to reachable sides."""
        return [link for link in self._links.values() if link.live]

    @property
    def keeping_origins(self) -> list[SideLink]:
        """List the links to sides that remember what began streams."""
        return [
            link
            for link in self.live
            if link.connection is not None and link.connection.keeps_origins
        ]

    def knowing_origins(self, pool: str) -> list[SideLink]:
        """List those that know what began the streams of a pool.

        They are the sides of its own engines, or all for a pool without any.
        """
        keeping = self.keeping_origins
        return [link for link in keeping if link.pool == pool] or keeping

    @property
    def reported_entries(self) -> int | None:
        """The number of entries by the sides; ``None`` if none knows it."""
        seen = [
            link.connection.entries
            for link in self._links.values()
            if link.connection is not None
        ]
        return max(seen, default=0) or None

    def find(self, ip: str) -> SideLink | None:
        """Return the link to a side if it can be reached."""
        link = self._links.get(ip)
        return link if link is not None and link.live else None

    def load(
        self,
        server: BackendServer,
        pool: Pool,
        cold: ColdEstimate,
    ) -> EstimatedLoad:
        """Return the load that a side reports; open a link to a new side."""
        link = self._links.get(server.ip)
        if link is not None and link.pool != pool.name:
            # An engine of another pool uses the address now.
            self._drop(server.ip)
            link = None
        if link is None:
            link = self._open(server, pool)
        link.update_start(server.start, cold)
        return link.load

    def follow(self, server: BackendServer, pool: Pool) -> None:
        """Open a link to the side of a server that gets no new requests."""
        if server.ip not in self._links:
            self._open(server, pool)

    def keep(self, ips: Collection[str]) -> None:
        """Set the addresses of all listed engines."""
        self._listed = frozenset(ips)
        self.sweep()

    def sweep(self) -> None:
        """Drop the links to sides that are unreachable and not listed.

        A crashed engine is missing from the list until it is back; its side
        keeps running, and may be watching the store for this entry.
        """
        for ip, link in list(self._links.items()):
            if ip not in self._listed and not link.live:
                self._drop(ip)

    def server_unreachable(self, instance: str, cause: str) -> None:
        """Suspect the requests that ran on a server when it crashed.

        :param cause: how the crash was detected.
        """
        crash = self._crashes.confirm_crash(loop_now(), instance)
        if not crash.strikes and not crash.runs:
            return
        silent = crash.without_event
        self._log.write(
            Event.SERVER_CRASHED,
            server=instance,
            cause=cause,
            suspects=len(crash.strikes),
            had_events=len(crash.runs) - len(silent),
            without_event={
                run.request_id: run.shared_parts
                for run in silent[:MAX_LOGGED_RUNS]
            },
        )
        if crash.strikes:
            self.report_strikes(crash.strikes)

    def report_strikes(self, strikes: Sequence[Strike]) -> None:
        """Send strikes to all entries, through one side per failure domain."""
        message = StrikesReported(tuple(strikes))
        for link in broadcast_sides(self.live):
            link.send_message(message)

    def broadcast_parts(self, message: PartsReported) -> None:
        """Send reports about parts of prompts to all entries."""
        keeping = [
            link
            for link in self.live
            if link.connection is not None and link.connection.keeps_parts
        ]
        for link in broadcast_sides(keeping):
            link.send_message(message)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()

    def _drop(self, ip: str) -> None:
        self._links.pop(ip)
        self._tasks.pop(ip).cancel()

    def _open(self, server: BackendServer, pool: Pool) -> SideLink:
        link = SideLink(
            (server.ip, self._settings.turns_port),
            (pool.name, server.failure_domain),
            Hello(
                self._settings.instance,
                pool.slots,
                pool.memory_tokens,
                asks_origins=True,
                reports_parts=True,
            ),
            SideState(
                EstimatedLoad(),
                self._prefix_index,
                self.views,
                self._crashes,
                self._crashes.quarantine,
                self._restarts,
                self.versions,
            ),
            self._log,
        )
        self._links[server.ip] = link
        loop = asyncio.get_running_loop()
        self._tasks[server.ip] = loop.create_task(link.run())
        return link
