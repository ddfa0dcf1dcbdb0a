"""Load, grants and configuration exchanged with the linked entries."""

from __future__ import annotations

from typing import Final

from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.links.api import Link
from sardinetrack.links.table import LinkTable
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.api import (
    ConfigDigest,
    ConfigUpdate,
    Grant,
    SideLoad,
)
from sardinetrack.side.backend_watch import ProbeNow, request_probe
from sardinetrack.side.configuration import SideConfiguration

_LOG: Final = ComponentLogger(LogComponent.SIDE)
BROADCAST_INTERVAL_SECONDS: Final = 0.05


class LoadBroadcaster:
    """Sends the load to all entries, at most once an interval."""

    def __init__(self, links: LinkTable) -> None:
        self._links = links
        self._scheduled = False
        self._next_at: float = 0

    def schedule(self) -> None:
        """Schedule a broadcast because the load has changed."""
        self._scheduled = True

    def due_at(self) -> float | None:
        """Time of the next broadcast (monotonic); ``None`` if not scheduled."""
        return self._next_at if self._scheduled else None

    def send(self, now: float, load: SideLoad) -> None:
        """Send the load now."""
        self._scheduled = False
        self._next_at = now + BROADCAST_INTERVAL_SECONDS
        self._links.post_all(load)


class ConfigurationSync:
    """Keeps the configuration in sync with the linked entries.

    When two digests differ, the end that is ahead sends the objects that the
    other lacks, and the end that is behind requests them by sending its own
    digest. So each exchange ends after at most three messages.
    """

    def __init__(
        self,
        configuration: SideConfiguration,
        links: LinkTable,
        probe: MemoryObjectSendStream[ProbeNow],
    ) -> None:
        """Create the synchronisation of one side.

        :param configuration: the side's active configuration.
        :param links: links to the entries.
        :param probe: wakes the watch of the backend server on a change.
        """
        self.configuration = configuration
        self._links = links
        self._probe = probe

    def send_digest(self, link: Link) -> None:
        """Send the digest of the active configuration to a new link."""
        link.post(self.configuration.digest())

    def receive_update(self, update: ConfigUpdate) -> None:
        """Apply objects; send the digest to all links if anything changed."""
        if not self.configuration.apply(update):
            return
        digest = self.configuration.digest()
        _LOG.info('configuration active', revision=digest.revision)
        self._links.post_all(digest)
        request_probe(self._probe)

    def reconcile(self, link: Link, peer_digest: ConfigDigest) -> None:
        """Respond to a peer's digest if it differs from the side's own."""
        update = self.configuration.update_for(peer_digest)
        own_digest = self.configuration.digest()
        if update is not None:
            link.post(update)
        elif own_digest != peer_digest:
            link.post(own_digest)


class GrantTracker:
    """Sends grants and tracks which ones each entry has received.

    The highest grant seen by an entry shows which grants its tags include.
    """

    def __init__(self, links: LinkTable) -> None:
        self._links = links
        self._highest_seen: dict[str, int] = {}

    def send(self, entry: str, grant: Grant) -> bool:
        """Send a grant.

        :return: whether the entry is linked.
        """
        link = self._links.get(entry)
        if link is None:
            return False
        link.post(grant)
        return True

    def record_seen(self, entry: str, number: int) -> int:
        """Record the number of a grant that the entry has seen.

        :return: the highest number that the entry has seen.
        """
        highest = max(number, self._highest_seen.get(entry, 0))
        self._highest_seen[entry] = highest
        return highest

    def forget(self, entry: str) -> None:
        """Remove an entry whose link has closed."""
        self._highest_seen.pop(entry, None)
