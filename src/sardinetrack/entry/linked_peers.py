"""The open control links of an entry, and the sides behind them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

import anyio

from sardinetrack.entry.dispatcher import Outbox
from sardinetrack.entry.side_directory import SideDirectory, SideEndpoint
from sardinetrack.http.client import HttpClient
from sardinetrack.links.api import Link, PeerRole
from sardinetrack.links.secret import PeerSecret
from sardinetrack.links.table import LinkTable
from sardinetrack.messages.api import (
    Bids,
    Decline,
    LinkMessage,
    ServiceReport,
    SideLoad,
    Strike,
)
from sardinetrack.messages.codec import encode
from sardinetrack.store.api import ListedInstance

_REDIAL_GRACE_SECONDS: Final = 1.5
"""A link that is redialed within this time does not count as a lost side."""


@dataclass(slots=True)
class LinkedSide:
    """A side while its link is up."""

    endpoint: SideEndpoint
    row: ListedInstance
    load: SideLoad | None = None
    in_use: bool = False
    """Whether the routing policy may use the side: it is not draining."""
    down: anyio.Event = field(default_factory=anyio.Event)


class LinkedPeers(SideDirectory, Outbox):
    """Links by the peer's instance name, and the state of each linked side."""

    def __init__(
        self, entry: str, http: HttpClient, secret: PeerSecret
    ) -> None:
        """Start without links.

        :param entry: name of this instance.
        :param http: the client for requests to sides.
        :param secret: authenticates this entry to sides.
        """
        self.entry = entry
        self.http = http
        self.secret = secret
        self._links = LinkTable()
        self._sides: dict[str, LinkedSide] = {}

    def sides(self) -> Iterator[LinkedSide]:
        """Iterate over the linked sides."""
        return iter(tuple(self._sides.values()))

    def links(self, role: PeerRole) -> list[Link]:
        """Return the open links to peers of a role."""
        return [link for link in self._links if link.peer.role is role]

    def count_links(self, role: PeerRole) -> int:
        """Count the open links to peers of a role."""
        return len(self.links(role))

    def is_linked(self, name: str) -> bool:
        """Return whether a link to an instance is up."""
        return self._links.get(name) is not None

    def side(self, name: str) -> LinkedSide | None:
        """Return a linked side with its state."""
        return self._sides.get(name)

    def find(self, name: str) -> SideEndpoint | None:
        """Return the endpoint of a linked side."""
        linked = self._sides.get(name)
        return linked.endpoint if linked else None

    async def wait_lost(self, side: SideEndpoint) -> None:
        """Return when the side process has been unreachable for a while."""
        linked = self._sides.get(side.name)
        while linked is not None and linked.endpoint == side:
            await linked.down.wait()
            await anyio.sleep(_REDIAL_GRACE_SECONDS)
            linked = self._sides.get(side.name)

    async def wait_link_broken(self, side: SideEndpoint) -> None:
        """Return when the link to the side process has broken at least once."""
        linked = self._sides.get(side.name)
        if linked is not None and linked.endpoint == side:
            await linked.down.wait()

    def add(self, link: Link) -> Link | None:
        """Add a link; return an older one that it replaces."""
        return self._links.add(link)

    def add_side(self, link: Link, row: ListedInstance) -> LinkedSide:
        """Add the side behind a link."""
        endpoint = SideEndpoint(
            row.instance,
            row.address,
            link.peer.incarnation,
            row.backend_server,
        )
        linked = LinkedSide(endpoint, row)
        self._sides[row.instance] = linked
        return linked

    def remove(self, link: Link) -> bool:
        """Remove a link; return ``False`` when a newer one has replaced it."""
        if not self._links.remove(link):
            return False
        self.remove_side(link.peer.instance)
        return True

    def remove_side(self, name: str) -> None:
        """Remove a side whose link is closed or replaced."""
        linked = self._sides.pop(name, None)
        if linked is not None:
            linked.down.set()

    def backend_server(self, side: str) -> str:
        """Return the name of the backend server of a linked side."""
        linked = self._sides.get(side)
        return linked.endpoint.backend_server if linked else ''

    def to_side(self, side: str, message: Bids | Decline) -> None:
        """Post a message to the link of a side."""
        link = self._links.get(side)
        if link is not None:
            link.post(message)

    def to_entries(self, message: ServiceReport | Strike) -> None:
        """Post a message to the links of all other entries."""
        self.to_role(PeerRole.ENTRY, message)

    def to_role(self, role: PeerRole, message: LinkMessage) -> None:
        """Post a message to all peers of a role; it is encoded once."""
        text = encode(message)
        for link in self.links(role):
            link.post_encoded(text)

    def to_all(self, message: LinkMessage) -> None:
        """Post a message to all peers."""
        self._links.post_all(message)
