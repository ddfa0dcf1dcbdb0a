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

    def __init__(self, components: EntryComponents, tasks: TaskGroup) -> None:
        """Build the link handlers and the feeds.

        :param components: the entry's components.
        :param tasks: runs the feeds and the dialers.
        """
        self._components = components
        self._tasks = tasks
        self._inbox = LinkInbox()
        dialers = PeerDialers(
            components.dependencies.hello(),
            components.dependencies.peer_secret,
            self._inbox.events,
            tasks,
        )
        self._events = PeerEvents(
            components.peers,
            dialers,
            components.dispatcher,
            components.config_sync,
        )
        self._updates = PlatformUpdates(
            components.dependencies.platform,
            components.dependencies.settings.platform.watch_seconds,
        )

    def start(self) -> None:
        """Start all tasks."""
        self._tasks.start_soon(self._inbox.deliver, self._events)
        self._tasks.start_soon(tick_periodically, self._components.dispatcher)
        self._tasks.start_soon(
            send_digests_periodically, self._components.config_sync
        )
        self._updates.start(
            self._tasks, self._components.config_sync, self._events
        )

    def peer_application(self) -> PeerApplication:
        """Build the endpoint for peers."""
        secret = self._components.dependencies.peer_secret
        acceptor = LinkAcceptor(
            self._components.dependencies.hello(),
            secret,
            self._inbox.events,
        )
        return PeerApplication(secret, acceptor, self._components.status.read)
