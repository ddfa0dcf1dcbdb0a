"""The connections of one entry to the sides of all model engines."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.messages.api import Strike
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.home import ranked
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.crashes import CrashWatch
from sardinetrack.relay.settings import NodeSettings
from sardinetrack.topology.cold import ColdWord
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.entry import Beliefs, Restarts, SideLink
from sardinetrack.turns.messages import Hello, Struck
from sardinetrack.views.api import Inbox, NoInbox

FIRST_ENTRIES: Final = 6
"""Entries taken to exist until a side has told how many it sees."""
_EVERYBODY: Final = '*'


def messengers(links: Iterable[SideLink]) -> list[SideLink]:
    """Choose the sides that pass news on to all entries.

    One of each failure domain: a side that has just stalled or been cut off
    would keep the news from everybody if it were the only one.

    :param links: to the sides that may be asked.
    """
    by_name = {link.name: link for link in links}
    chosen: dict[str, SideLink] = {}
    for name in ranked(_EVERYBODY, by_name):
        link = by_name[name]
        chosen.setdefault(link.failure_domain, link)
    return list(chosen.values())


class SideLinks:
    """Owns a connection to each side, by the address of its engine."""

    def __init__(
        self,
        settings: NodeSettings,
        holdings: Holdings,
        crashes: CrashWatch,
        restarts: Restarts,
        log: EventLog,
    ) -> None:
        """Start without any.

        :param restarts: is told when a side knows a later start of its server.
        """
        self.views: Inbox = NoInbox()
        self._settings = settings
        self._holdings = holdings
        self._crashes = crashes
        self._restarts = restarts
        self._log = log
        self._listed: frozenset[str] = frozenset()
        self._links: dict[str, SideLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def live(self) -> list[SideLink]:
        """List the sides that may be asked."""
        return [link for link in self._links.values() if link.live]

    @property
    def entries_seen(self) -> int | None:
        """Tell how many entries the sides see; ``None`` if none has told."""
        seen = [
            link.lines.entries
            for link in self._links.values()
            if link.lines is not None
        ]
        return max(seen, default=None)

    def find(self, ip: str) -> SideLink | None:
        """Find a side that may be asked."""
        link = self._links.get(ip)
        return link if link is not None and link.live else None

    def load(
        self,
        server: BackendServer,
        pool: Pool,
        cold: ColdWord,
    ) -> ServerLoad:
        """Find the load that a side tells; link it when it is new."""
        link = self._links.get(server.ip)
        if link is not None and link.pool != pool.name:
            # The address was taken over by an engine of another pool.
            self._drop(server.ip)
            link = None
        if link is None:
            link = self._open(server, pool)
        link.know(server.start, cold)
        return link.load

    def keep(self, ips: Collection[str]) -> None:
        """Note the addresses of all listed engines."""
        self._listed = frozenset(ips)
        self.sweep()

    def sweep(self) -> None:
        """Drop the links to sides that do not answer and are not listed.

        An engine that crashes is listed no more until it is back; its side
        lives on, and may be watching the store for this entry.
        """
        for ip, link in list(self._links.items()):
            if ip not in self._listed and not link.live:
                self._drop(ip)

    def server_away(self, instance: str, cause: str) -> None:
        """Suspect what ran at a server that went down.

        :param cause: how that showed.
        """
        strikes = self._crashes.away(loop_now(), instance)
        if strikes:
            self._log.write(
                Event.SERVER_CRASHED,
                server=instance,
                cause=cause,
                suspects=len(strikes),
            )
            self.struck(strikes)

    def struck(self, strikes: Sequence[Strike]) -> None:
        """Tell all entries, through sides that are connected to each."""
        message = Struck(tuple(strikes))
        for link in messengers(self.live):
            link.tell(message)

    def close(self) -> None:
        """End all links."""
        for task in self._tasks.values():
            task.cancel()

    def _drop(self, ip: str) -> None:
        self._links.pop(ip)
        self._tasks.pop(ip).cancel()

    def _open(self, server: BackendServer, pool: Pool) -> SideLink:
        link = SideLink(
            (server.ip, self._settings.turns_port),
            (pool.name, server.failure_domain),
            Hello(self._settings.instance, pool.slots, pool.memory_tokens),
            Beliefs(
                ServerLoad(),
                self._holdings,
                self.views,
                self._crashes,
                self._restarts,
            ),
            self._log,
        )
        self._links[server.ip] = link
        loop = asyncio.get_running_loop()
        self._tasks[server.ip] = loop.create_task(link.run())
        return link
