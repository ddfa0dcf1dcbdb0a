"""Keeps the configuration of an entry and of its peers in sync."""

from __future__ import annotations

from typing import Final

from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.linked_peers import LinkedPeers
from sardinetrack.links.api import Link, PeerRole
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.api import ConfigDigest, ConfigUpdate

_LOG: Final = ComponentLogger(LogComponent.ENTRY)


class ConfigSync:
    """Applies configuration changes and forwards them to peers.

    Sides do not watch the platform and receive the whole configuration from
    entries. An entry that starts while the platform is down receives it from
    another entry.
    """

    def __init__(
        self,
        view: CatalogueView,
        dispatcher: Dispatcher,
        peers: LinkedPeers,
    ) -> None:
        self.view = view
        self._dispatcher = dispatcher
        self._peers = peers
        self._digests: dict[str, ConfigDigest] = {}

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration is active."""
        return self.view.revision > 0

    def digest_of(self, instance: str) -> ConfigDigest | None:
        """Return the latest digest that a peer sent."""
        return self._digests.get(instance)

    def apply_platform_update(self, update: ConfigUpdate) -> None:
        """Apply an update of the platform; forward it immediately to peers."""
        if self._apply(update):
            self._peers.to_all(update)

    def apply_peer_update(self, update: ConfigUpdate) -> None:
        """Apply a peer's update and forward it to the sides immediately.

        Other entries receive it from the platform or from the same peer.
        """
        if self._apply(update):
            self._peers.to_role(PeerRole.SIDE, update)

    def peer_linked(self, link: Link) -> None:
        """Send the digest of the active configuration to a new peer."""
        link.post(self.view.digest())

    def receive_digest(self, link: Link, digest: ConfigDigest) -> None:
        """Respond to a peer's digest with what it lacks, or with a digest."""
        self._digests[link.peer.instance] = digest
        update = self.view.update_for(digest)
        if update is not None:
            link.post(update)
        elif digest.revision > self.view.revision:
            # Otherwise an entry that is disconnected from the platform and
            # from other entries would receive a change only after a side's
            # next periodic digest.
            link.post(self.view.digest())

    def peer_unlinked(self, instance: str) -> None:
        """Forget a peer's digest."""
        self._digests.pop(instance, None)

    def send_digests(self) -> None:
        """Send the digest to all peers, which repairs missed updates."""
        if self.has_configuration:
            self._peers.to_all(self.view.digest())

    def _apply(self, update: ConfigUpdate) -> bool:
        """Return whether peers may lack a part of the update."""
        before = self.view.digest().digest
        if self.view.apply(update):
            self._activate()
        return self.view.digest().digest != before

    def _activate(self) -> None:
        _LOG.info('configuration active', revision=self.view.revision)
        dispatcher = self._dispatcher
        dispatcher.apply_effects(
            dispatcher.routing.configure(
                dispatcher.clock(),
                self.view.workspaces(),
                self.view.pools(),
            ),
        )
