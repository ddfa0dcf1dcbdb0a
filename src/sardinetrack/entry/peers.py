"""Handles what happens on the control links of an entry."""

from __future__ import annotations

from typing import Final

from sardinetrack.entry.configuration import ConfigExchange
from sardinetrack.entry.dispatcher import Dispatcher, Effects
from sardinetrack.entry.linked import LinkedPeers, LinkedSide
from sardinetrack.entry.roster import Roster
from sardinetrack.links.api import (
    Link,
    LinkDown,
    LinkEvent,
    LinkMessageReceived,
    LinkUp,
    PeerRole,
)
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.membership.api import Gone, Joined, MembershipChange
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

_LOG: Final = PartLogger(Part.ENTRY)


class PeerEvents:
    """Feeds link events to the routing decisions and the configuration."""

    def __init__(
        self,
        peers: LinkedPeers,
        roster: Roster,
        dispatcher: Dispatcher,
        exchange: ConfigExchange,
    ) -> None:
        """Remember the parts."""
        self._peers = peers
        self._roster = roster
        self._dispatcher = dispatcher
        self._exchange = exchange

    def handle(self, event: LinkEvent) -> None:
        """Handle one event."""
        match event:
            case LinkUp():
                self._up(event.link)
            case LinkMessageReceived():
                self._message(event.link, event.message)
            case LinkDown():
                self._down(event.link)

    def listed(self, change: MembershipChange) -> None:
        """Handle a change of the platform's list.

        A side that leaves or is gone gets no new work, but its link stays
        while it is up: requests still run there, and closing the link would
        make them count as lost.
        """
        name = change.row.instance
        self._roster.note(change)
        linked = self._peers.side(name)
        if isinstance(change, Joined):
            if linked is not None:
                self._use(linked)
            return
        if linked is not None:
            self._unuse(linked)
        if isinstance(change, Gone) and not self._peers.is_linked(name):
            self._roster.hang_up(name)

    def _up(self, link: Link) -> None:
        replaced = self._peers.add(link)
        if replaced is not None:
            self._forget(replaced)
        if link.peer.role is PeerRole.SIDE:
            self._side_up(link)
        else:
            self._entry_up(link)
        self._exchange.linked(link)

    def _entry_up(self, link: Link) -> None:
        # An entry that starts, or was cut off, has not heard the strikes:
        # through it a request that crashes servers would take down two more.
        now = self._dispatcher.clock()
        routing = self._dispatcher.routing
        for strike in routing.peer_linked(now, link.peer.instance):
            link.post(strike)

    def _side_up(self, link: Link) -> None:
        name = link.peer.instance
        row = self._roster.row(name)
        if row is None:
            link.close()
            return
        self._use(self._peers.add_side(link, row))

    def _use(self, linked: LinkedSide) -> None:
        row = linked.row
        if linked.in_use or self._roster.is_leaving(row.instance):
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
        self._carry_out(routing.side_up(self._dispatcher.clock(), info))

    def _down(self, link: Link) -> None:
        linked = self._peers.side(link.peer.instance)
        if self._peers.remove(link):
            self._lost(link, linked)

    def _forget(self, replaced: Link) -> None:
        linked = self._peers.side(replaced.peer.instance)
        self._peers.remove_side(replaced.peer.instance)
        self._lost(replaced, linked)

    def _lost(self, link: Link, linked: LinkedSide | None) -> None:
        name = link.peer.instance
        self._exchange.unlinked(name)
        if self._roster.row(name) is None:
            self._roster.hang_up(name)
        if linked is not None:
            self._unuse(linked)
        if link.peer.role is PeerRole.ENTRY:
            routing = self._dispatcher.routing
            self._carry_out(routing.peer_lost(self._dispatcher.clock(), name))

    def _unuse(self, linked: LinkedSide) -> None:
        if not linked.in_use:
            return
        linked.in_use = False
        name = linked.known.name
        _LOG.info('side is no longer used', side=name)
        routing = self._dispatcher.routing
        self._carry_out(routing.side_down(self._dispatcher.clock(), name))

    def _message(self, link: Link, message: LinkMessage) -> None:
        match message:
            case ConfigUpdate():
                self._exchange.from_peer(message)
            case ConfigDigest():
                self._exchange.told(link, message)
            case _:
                self._carry_out(self._decide(link, message))

    def _decide(self, link: Link, message: LinkMessage) -> Effects:
        now = self._dispatcher.clock()
        routing = self._dispatcher.routing
        name = link.peer.instance
        match message:
            case SideLoad():
                return self._load(name, message)
            case Grant():
                return routing.grant(now, name, message)
            case ServiceReport():
                return routing.peer_service(now, message)
            case Strike():
                return self._struck(link, message)
            case StrikeNoted():
                return routing.strike_noted(now, name, message.number)
        _LOG.warning('unexpected message', peer=name)
        return ()

    def _struck(self, link: Link, strike: Strike) -> Effects:
        now = self._dispatcher.clock()
        effects = self._dispatcher.routing.strike(now, strike)
        if strike.number:
            link.post(StrikeNoted(strike.number))
        return effects

    def _load(self, name: str, load: SideLoad) -> Effects:
        linked = self._peers.side(name)
        if linked is None or not linked.in_use:
            return ()
        linked.load = load
        now = self._dispatcher.clock()
        return self._dispatcher.routing.load(now, name, load)

    def _carry_out(self, effects: Effects) -> None:
        self._dispatcher.carry_out(effects)
