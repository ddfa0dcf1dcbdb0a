"""What the owner task does about its links."""

from __future__ import annotations

from typing import Final

from sardinetrack.links.api import LinkDown, LinkMessageReceived, LinkUp
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.api import Bids, ConfigDigest, ConfigUpdate, Decline
from sardinetrack.side.core import Effects, OwnerCore

_LOG: Final = PartLogger(Part.SIDE)


class LinkEvents:
    """Translates the events of links into calls of the decision object."""

    def __init__(self, core: OwnerCore) -> None:
        """Work on the owner's state."""
        self._core = core

    def opened(self, now: float, event: LinkUp) -> Effects:
        """Greet an entry with the load and the configuration's digest."""
        replaced = self._core.links.add(event.link)
        event.link.post(self._core.admission.load())
        self._core.exchange.greet(event.link)
        self._core.metrics.links.set(len(self._core.links))
        return () if replaced is None else self._lost(now, event)

    def closed(self, now: float, event: LinkDown) -> Effects:
        """Drop what hung on the link, unless a newer one has replaced it."""
        newest = self._core.links.remove(event.link)
        self._core.metrics.links.set(len(self._core.links))
        return self._lost(now, event) if newest else ()

    def received(self, now: float, event: LinkMessageReceived) -> Effects:
        """Take in a message of the peer's newest link."""
        if self._core.links.get(event.peer.instance) is not event.link:
            return ()
        match event.message:
            case Bids() as bids:
                return self._bids(now, event, bids)
            case Decline() as decline:
                return self._decline(now, event, decline)
            case ConfigUpdate() as update:
                self._core.exchange.update(update)
            case ConfigDigest() as digest:
                self._core.exchange.compare(event.link, digest)
            case other:
                _LOG.debug('ignored a message', message=type(other).__name__)
        return ()

    def _lost(self, now: float, event: LinkUp | LinkDown) -> Effects:
        entry = event.peer.instance
        self._core.grants.forget(entry)
        return self._core.admission.entry_lost(now, entry)

    def _bids(
        self,
        now: float,
        event: LinkMessageReceived,
        bids: Bids,
    ) -> Effects:
        entry = event.peer.instance
        if bids.pool != self._core.identity.pool:
            _LOG.warning('bids for another pool', pool=bids.pool, entry=entry)
            return ()
        self._core.grants.seen(entry, bids.grants_seen)
        return self._core.admission.bids(now, entry, bids)

    def _decline(
        self,
        now: float,
        event: LinkMessageReceived,
        decline: Decline,
    ) -> Effects:
        entry = event.peer.instance
        self._core.grants.seen(entry, decline.number)
        return self._core.admission.decline(now, entry, decline.number)
