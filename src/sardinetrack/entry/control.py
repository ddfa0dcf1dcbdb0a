"""The control links of an entry, and what it hears from the platform."""

from __future__ import annotations

from anyio.abc import TaskGroup

from sardinetrack.entry.applications import PeerApplication
from sardinetrack.entry.core import EntryCore
from sardinetrack.entry.loops import LinkInbox, PlatformNews, remind, tick
from sardinetrack.entry.peers import PeerEvents
from sardinetrack.entry.roster import Roster
from sardinetrack.links.server import LinkAcceptor


class Control:
    """Connects the links and the platform's news with the core."""

    def __init__(self, core: EntryCore, tasks: TaskGroup) -> None:
        """Build the parts.

        :param tasks: runs them and the dialers.
        """
        self._core = core
        self._tasks = tasks
        self._inbox = LinkInbox()
        roster = Roster(
            core.parts.hello(),
            core.parts.peer_secret,
            self._inbox.events,
            tasks,
        )
        self._events = PeerEvents(
            core.peers,
            roster,
            core.dispatcher,
            core.exchange,
        )
        self._news = PlatformNews(
            core.parts.platform,
            core.parts.settings.platform.watch_seconds,
        )

    def start(self) -> None:
        """Start all tasks."""
        self._tasks.start_soon(self._inbox.deliver, self._events)
        self._tasks.start_soon(tick, self._core.dispatcher)
        self._tasks.start_soon(remind, self._core.exchange)
        self._news.start(self._tasks, self._core.exchange, self._events)

    def peer_application(self) -> PeerApplication:
        """Build what other entries may call."""
        secret = self._core.parts.peer_secret
        acceptor = LinkAcceptor(
            self._core.parts.hello(),
            secret,
            self._inbox.events,
        )
        return PeerApplication(secret, acceptor, self._core.status.read)
