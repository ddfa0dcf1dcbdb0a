"""Handles the link events of the owner task."""

from __future__ import annotations

from typing import Final

from sardinetrack.links.api import LinkDown, LinkMessageReceived, LinkUp
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.api import Bids, ConfigDigest, ConfigUpdate, Decline
from sardinetrack.side.owner_state import Effects, OwnerState

_LOG: Final = ComponentLogger(LogComponent.SIDE)


class LinkEventHandler:
    """Translates link events into calls of the admission object."""

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def opened(self, now: float, event: LinkUp) -> Effects:
        """Send the load and the configuration's digest to a new link."""
        replaced = self._state.links.add(event.link)
        event.link.post(self._state.admission.load())
        self._state.configuration_sync.send_digest(event.link)
        self._state.metrics.links.set(len(self._state.links))
        return () if replaced is None else self._disconnected(now, event)

    def closed(self, now: float, event: LinkDown) -> Effects:
        """Drop what belongs to the link unless a newer link has replaced it."""
        newest = self._state.links.remove(event.link)
        self._state.metrics.links.set(len(self._state.links))
        return self._disconnected(now, event) if newest else ()

    def received(self, now: float, event: LinkMessageReceived) -> Effects:
        """Handle a message of the peer's newest link."""
        if self._state.links.get(event.peer.instance) is not event.link:
            return ()
        match event.message:
            case Bids() as bids:
                return self._bids(now, event, bids)
            case Decline() as decline:
                return self._decline(now, event, decline)
            case ConfigUpdate() as update:
                self._state.configuration_sync.receive_update(update)
            case ConfigDigest() as digest:
                self._state.configuration_sync.reconcile(event.link, digest)
            case other:
                _LOG.debug(
                    'ignored an unexpected message',
                    message=type(other).__name__,
                )
        return ()

    def _disconnected(self, now: float, event: LinkUp | LinkDown) -> Effects:
        entry = event.peer.instance
        self._state.grants.forget(entry)
        return self._state.admission.entry_disconnected(now, entry)

    def _bids(
        self,
        now: float,
        event: LinkMessageReceived,
        bids: Bids,
    ) -> Effects:
        entry = event.peer.instance
        if bids.pool != self._state.identity.pool:
            _LOG.warning(
                'ignored bids for another pool', pool=bids.pool, entry=entry
            )
            return ()
        self._state.grants.record_seen(entry, bids.grants_seen)
        return self._state.admission.update_bids(now, entry, bids)

    def _decline(
        self,
        now: float,
        event: LinkMessageReceived,
        decline: Decline,
    ) -> Effects:
        entry = event.peer.instance
        self._state.grants.record_seen(entry, decline.number)
        return self._state.admission.decline(now, entry, decline.number)
