"""Handles the events of the control links of an entry."""

from __future__ import annotations

from typing import Final

from sardinetrack.entry.config_sync import ConfigSync
from sardinetrack.entry.dispatcher import Dispatcher, Effects
from sardinetrack.entry.linked_peers import LinkedPeers, LinkedSide
from sardinetrack.entry.peer_dialers import PeerDialers
from sardinetrack.links.api import (
    Link,
    LinkDown,
    LinkEvent,
    LinkMessageReceived,
    LinkUp,
    PeerRole,
)
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.membership.api import (
    InstanceJoined,
    InstanceRemoved,
    MembershipChange,
)
from sardinetrack.messages.api import (
    ConfigDigest,
    ConfigUpdate,
    Grant,
    LinkMessage,
    ServiceReport,
    SideLoad,
    Strike,
    StrikeNoted,
)
from sardinetrack.routing.api import SideInfo

_LOG: Final = ComponentLogger(LogComponent.ENTRY)


class PeerEvents:
    """Passes link events to the routing decisions and the configuration."""

    def __init__(
        self,
        peers: LinkedPeers,
        dialers: PeerDialers,
        dispatcher: Dispatcher,
        config_sync: ConfigSync,
    ) -> None:
        self._peers = peers
        self._dialers = dialers
        self._dispatcher = dispatcher
        self._config_sync = config_sync

    def handle(self, event: LinkEvent) -> None:
        """Handle one event."""
        match event:
            case LinkUp():
                self._link_up(event.link)
            case LinkMessageReceived():
                self._receive(event.link, event.message)
            case LinkDown():
                self._link_down(event.link)

    def membership_changed(self, change: MembershipChange) -> None:
        """Handle a change of the platform's instance list.

        A side that is draining or removed gets no new requests, but its link is
        kept while it is up: requests still run there, and closing the link
        would count them as lost.
        """
        name = change.row.instance
        self._dialers.apply(change)
        linked = self._peers.side(name)
        if isinstance(change, InstanceJoined):
            if linked is not None:
                self._start_using(linked)
            return
        if linked is not None:
            self._stop_using(linked)
        if isinstance(change, InstanceRemoved) and not self._peers.is_linked(
            name
        ):
            self._dialers.stop_dialing(name)

    def _link_up(self, link: Link) -> None:
        replaced = self._peers.add(link)
        if replaced is not None:
            self._remove_replaced(replaced)
        if link.peer.role is PeerRole.SIDE:
            self._side_up(link)
        else:
            self._entry_up(link)
        self._config_sync.peer_linked(link)

    def _entry_up(self, link: Link) -> None:
        # An entry that has just started, or was disconnected, has missed
        # strikes. Through it a request that crashes servers would crash two
        # more.
        now = self._dispatcher.clock()
        routing = self._dispatcher.routing
        for strike in routing.peer_linked(now, link.peer.instance):
            link.post(strike)

    def _side_up(self, link: Link) -> None:
        name = link.peer.instance
        row = self._dialers.find(name)
        if row is None:
            link.close()
            return
        self._start_using(self._peers.add_side(link, row))

    def _start_using(self, linked: LinkedSide) -> None:
        row = linked.row
        if linked.in_use or self._dialers.is_draining(row.instance):
            return
        linked.in_use = True
        info = SideInfo(
            side=row.instance,
            pool=row.pool,
            backend_server=row.backend_server,
            failure_domain=row.failure_domain,
            address=row.address,
        )
        routing = self._dispatcher.routing
        self._apply_effects(
            routing.side_connected(self._dispatcher.clock(), info)
        )

    def _link_down(self, link: Link) -> None:
        linked = self._peers.side(link.peer.instance)
        if self._peers.remove(link):
            self._peer_lost(link, linked)

    def _remove_replaced(self, replaced: Link) -> None:
        linked = self._peers.side(replaced.peer.instance)
        self._peers.remove_side(replaced.peer.instance)
        self._peer_lost(replaced, linked)

    def _peer_lost(self, link: Link, linked: LinkedSide | None) -> None:
        name = link.peer.instance
        self._config_sync.peer_unlinked(name)
        if self._dialers.find(name) is None:
            self._dialers.stop_dialing(name)
        if linked is not None:
            self._stop_using(linked)
        if link.peer.role is PeerRole.ENTRY:
            routing = self._dispatcher.routing
            self._apply_effects(
                routing.peer_lost(self._dispatcher.clock(), name)
            )

    def _stop_using(self, linked: LinkedSide) -> None:
        if not linked.in_use:
            return
        linked.in_use = False
        name = linked.endpoint.name
        _LOG.info('side is no longer used', side=name)
        routing = self._dispatcher.routing
        self._apply_effects(
            routing.side_disconnected(self._dispatcher.clock(), name)
        )

    def _receive(self, link: Link, message: LinkMessage) -> None:
        match message:
            case ConfigUpdate():
                self._config_sync.apply_peer_update(message)
            case ConfigDigest():
                self._config_sync.receive_digest(link, message)
            case _:
                self._apply_effects(self._apply_message(link, message))

    def _apply_message(self, link: Link, message: LinkMessage) -> Effects:
        now = self._dispatcher.clock()
        routing = self._dispatcher.routing
        name = link.peer.instance
        match message:
            case SideLoad():
                return self._update_load(name, message)
            case Grant():
                return routing.grant(now, name, message)
            case ServiceReport():
                return routing.apply_service_report(now, message)
            case Strike():
                return self._apply_strike(link, message)
            case StrikeNoted():
                return routing.strike_acknowledged(now, name, message.number)
        _LOG.warning('unexpected message', peer=name)
        return ()

    def _apply_strike(self, link: Link, strike: Strike) -> Effects:
        now = self._dispatcher.clock()
        effects = self._dispatcher.routing.apply_strike(now, strike)
        if strike.number:
            link.post(StrikeNoted(strike.number))
        return effects

    def _update_load(self, name: str, load: SideLoad) -> Effects:
        linked = self._peers.side(name)
        if linked is None or not linked.in_use:
            return ()
        linked.load = load
        now = self._dispatcher.clock()
        return self._dispatcher.routing.update_side_load(now, name, load)

    def _apply_effects(self, effects: Effects) -> None:
        self._dispatcher.apply_effects(effects)
