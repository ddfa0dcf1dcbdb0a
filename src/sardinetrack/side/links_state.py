"""The owner task's dealings with its links: load, grants, configuration."""

from __future__ import annotations

from typing import Final

from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.links.api import Link
from sardinetrack.links.table import LinkTable
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.api import (
    ConfigDigest,
    ConfigUpdate,
    Grant,
    SideLoad,
)
from sardinetrack.side.backend_watch import ProbeNow, ask_probe
from sardinetrack.side.configuration import SideConfiguration

_LOG: Final = PartLogger(Part.SIDE)
ANNOUNCE_SECONDS: Final = 0.05


class Announcer:
    """Sends the load to all entries, at most once a period."""

    def __init__(self, links: LinkTable) -> None:
        """Start with nothing to say."""
        self._links = links
        self._wanted = False
        self._next_at: float = 0

    def want(self) -> None:
        """Note that the load has changed."""
        self._wanted = True

    def due_at(self) -> float | None:
        """Tell when the load is to be sent, ``None`` for not at all."""
        return self._next_at if self._wanted else None

    def send(self, now: float, load: SideLoad) -> None:
        """Send the load now."""
        self._wanted = False
        self._next_at = now + ANNOUNCE_SECONDS
        self._links.post_all(load)


class ConfigurationExchange:
    """Keeps the configuration in step with the linked entries.

    On a digest that differs the end that is ahead sends what the other
    lacks, and the end that is behind asks by its own digest, so that every
    exchange ends after at most three messages.
    """

    def __init__(
        self,
        configuration: SideConfiguration,
        links: LinkTable,
        probe: MemoryObjectSendStream[ProbeNow],
    ) -> None:
        """Remember what to keep in step.

        :param probe: wakes the watch of the backend server on a change.
        """
        self.configuration = configuration
        self._links = links
        self._probe = probe

    def greet(self, link: Link) -> None:
        """Tell a new link what is in force here."""
        link.post(self.configuration.digest())

    def update(self, update: ConfigUpdate) -> None:
        """Take in objects; tell everybody when something changed."""
        if not self.configuration.apply(update):
            return
        digest = self.configuration.digest()
        _LOG.info('configuration in force', revision=digest.revision)
        self._links.post_all(digest)
        ask_probe(self._probe)

    def compare(self, link: Link, theirs: ConfigDigest) -> None:
        """Answer a digest that differs from one's own."""
        update = self.configuration.update_for(theirs)
        mine = self.configuration.digest()
        if update is not None:
            link.post(update)
        elif mine != theirs:
            link.post(mine)


class Grants:
    """Sends grants; remembers how far each entry's tags include them."""

    def __init__(self, links: LinkTable) -> None:
        """Start with none."""
        self._links = links
        self._seen: dict[str, int] = {}

    def send(self, entry: str, grant: Grant) -> bool:
        """Send a grant.

        :return: whether the entry is linked.
        """
        link = self._links.get(entry)
        if link is None:
            return False
        link.post(grant)
        return True

    def seen(self, entry: str, number: int) -> int:
        """Note a grant that the entry has seen.

        :return: the highest grant that it has seen.
        """
        highest = max(number, self._seen.get(entry, 0))
        self._seen[entry] = highest
        return highest

    def forget(self, entry: str) -> None:
        """Forget an entry whose link has closed."""
        self._seen.pop(entry, None)
