"""The newest link to each peer."""

from __future__ import annotations

from collections.abc import Iterator

from sardinetrack.links.api import Link
from sardinetrack.messages.api import LinkMessage
from sardinetrack.messages.codec import encode


class LinkTable:
    """Links by the peer's instance; one task owns it."""

    def __init__(self) -> None:
        """Start with no links."""
        self._links: dict[str, Link] = {}

    def __iter__(self) -> Iterator[Link]:
        """Iterate over the open links."""
        return iter(tuple(self._links.values()))

    def __len__(self) -> int:
        return len(self._links)

    def add(self, link: Link) -> Link | None:
        """Note a link that has opened.

        A peer that lost its link dials again before this end has noticed:
        the older link is closed and handed back as replaced.

        :return: the link that this one replaces.
        """
        replaced = self._links.get(link.peer.instance)
        self._links[link.peer.instance] = link
        if replaced is not None:
            replaced.close()
        return replaced

    def remove(self, link: Link) -> bool:
        """Note a link that has closed.

        :return: whether it was the peer's newest link.
        """
        if self._links.get(link.peer.instance) is not link:
            return False
        self._links.pop(link.peer.instance)
        return True

    def get(self, instance: str) -> Link | None:
        """Find the link to a peer."""
        return self._links.get(instance)

    def post_all(self, message: LinkMessage) -> None:
        """Post one message to every peer; it is encoded once."""
        text = encode(message)
        for link in self:
            link.post_encoded(text)
