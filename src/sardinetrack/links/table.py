"""Registry of the newest link to each peer."""

from __future__ import annotations

from collections.abc import Iterator

from sardinetrack.links.api import Link
from sardinetrack.messages.api import LinkMessage
from sardinetrack.messages.codec import encode


class LinkTable:
    """Links by the peer's instance; used by one task only."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def __iter__(self) -> Iterator[Link]:
        """Iterate over the open links."""
        return iter(tuple(self._links.values()))

    def __len__(self) -> int:
        return len(self._links)

    def add(self, link: Link) -> Link | None:
        """Add a link that has opened.

        A peer whose link broke may dial again before this end has noticed:
        the older link is closed and returned as replaced.

        :return: the link that this one replaces.
        """
        replaced = self._links.get(link.peer.instance)
        self._links[link.peer.instance] = link
        if replaced is not None:
            replaced.close()
        return replaced

    def remove(self, link: Link) -> bool:
        """Remove a link that has closed.

        :return: whether it was the peer's newest link.
        """
        if self._links.get(link.peer.instance) is not link:
            return False
        self._links.pop(link.peer.instance)
        return True

    def get(self, instance: str) -> Link | None:
        """Return the newest link to a peer."""
        return self._links.get(instance)

    def post_all(self, message: LinkMessage) -> None:
        """Post one message to every peer, encoded once."""
        text = encode(message)
        for link in self:
            link.post_encoded(text)
