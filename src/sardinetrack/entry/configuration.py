"""Keeps the configuration of an entry and of its peers in step."""

from __future__ import annotations

from typing import Final

from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.linked import LinkedPeers
from sardinetrack.links.api import Link, PeerRole
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate

_LOG: Final = PartLogger(Part.ENTRY)


class ConfigExchange:
    """Puts changes in force here and passes them on.

    Sides hold no watch on the platform and learn everything from entries; an
    entry that starts while the platform is down learns from another one.
    """

    def __init__(
        self,
        view: CatalogueView,
        dispatcher: Dispatcher,
        peers: LinkedPeers,
    ) -> None:
        """Remember the parts."""
        self.view = view
        self._dispatcher = dispatcher
        self._peers = peers
        self._digests: dict[str, ConfigDigest] = {}

    @property
    def in_force(self) -> bool:
        """Whether any configuration is known."""
        return self.view.revision > 0

    def digest_of(self, instance: str) -> ConfigDigest | None:
        """Return the newest digest that a peer sent."""
        return self._digests.get(instance)

    def from_platform(self, update: ConfigUpdate) -> None:
        """Take in news of the platform; all peers hear of it at once."""
        if self._apply(update):
            self._peers.to_all(update)

    def from_peer(self, update: ConfigUpdate) -> None:
        """Take in news of a peer; the sides hear of it at once.

        Other entries hear it from the platform or from the same peer.
        """
        if self._apply(update):
            self._peers.to_role(PeerRole.SIDE, update)

    def linked(self, link: Link) -> None:
        """Tell a new peer what is in force here."""
        link.post(self.view.digest())

    def told(self, link: Link, digest: ConfigDigest) -> None:
        """Answer a peer's digest with what it lacks, or ask it for more."""
        self._digests[link.peer.instance] = digest
        update = self.view.update_for(digest)
        if update is not None:
            link.post(update)
        elif digest.revision > self.view.revision:
            # An entry cut off from the platform and from other entries would
            # else learn of a change only by a side's next reminder.
            link.post(self.view.digest())

    def unlinked(self, instance: str) -> None:
        """Forget what a peer told."""
        self._digests.pop(instance, None)

    def remind(self) -> None:
        """Send the digest to all peers, which mends whatever was missed."""
        if self.in_force:
            self._peers.to_all(self.view.digest())

    def _apply(self, update: ConfigUpdate) -> bool:
        """Return whether the peers may lack something of the update."""
        before = self.view.digest().digest
        if self.view.apply(update):
            self._put_in_force()
        return self.view.digest().digest != before

    def _put_in_force(self) -> None:
        _LOG.info('configuration in force', revision=self.view.revision)
        dispatcher = self._dispatcher
        dispatcher.carry_out(
            dispatcher.routing.configure(
                dispatcher.clock(),
                self.view.workspaces(),
                self.view.pools(),
            ),
        )
