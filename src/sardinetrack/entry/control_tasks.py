"""The control links of an entry, and its updates from the platform."""

from __future__ import annotations

from anyio.abc import TaskGroup

from sardinetrack.entry.applications import PeerApplication
from sardinetrack.entry.background_tasks import (
    LinkInbox,
    PlatformUpdates,
    send_digests_periodically,
    tick_periodically,
)
from sardinetrack.entry.components import EntryComponents
from sardinetrack.entry.peer_dialers import PeerDialers
from sardinetrack.entry.peer_events import PeerEvents
from sardinetrack.links.server import LinkAcceptor


class Control:
    """Connects the links and the platform feeds with the entry components."""

    def __init__(self, core: EntryComponents, tasks: TaskGroup) -> None:
        """Build the link handlers and the feeds.

        :param core: the entry's components.
        :param tasks: runs the feeds and the dialers.
        """
        self._core = core
        self._tasks = tasks
        self._inbox = LinkInbox()
        dialers = PeerDialers(
            core.parts.hello(),
            core.parts.peer_secret,
            self._inbox.events,
            tasks,
        )
        self._events = PeerEvents(
            core.peers,
            dialers,
            core.dispatcher,
            core.config_sync,
        )
        self._updates = PlatformUpdates(
            core.parts.platform,
            core.parts.settings.platform.watch_seconds,
        )

    def start(self) -> None:
        """Start all tasks."""
        self._tasks.start_soon(self._inbox.deliver, self._events)
        self._tasks.start_soon(tick_periodically, self._core.dispatcher)
        self._tasks.start_soon(
            send_digests_periodically, self._core.config_sync
        )
        self._updates.start(self._tasks, self._core.config_sync, self._events)

    def peer_application(self) -> PeerApplication:
        """Build the endpoint for peers."""
        secret = self._core.parts.peer_secret
        acceptor = LinkAcceptor(
            self._core.parts.hello(),
            secret,
            self._inbox.events,
        )
        return PeerApplication(secret, acceptor, self._core.status.read)
