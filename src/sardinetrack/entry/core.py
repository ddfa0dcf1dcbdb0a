"""The objects of an entry that its listeners and tasks share."""

from __future__ import annotations

from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.entry.configuration import ConfigExchange
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.gate import Gate
from sardinetrack.entry.linked import LinkedPeers
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.parts import EntryParts
from sardinetrack.entry.status import StatusReader
from sardinetrack.http.client import HttpClient


class EntryCore:
    """Everything is used on the event loop only, between two awaits."""

    def __init__(self, parts: EntryParts, http: HttpClient) -> None:
        """Connect the objects.

        :param http: calls sides.
        """
        self.parts = parts
        self.gate = Gate()
        self.view = CatalogueView()
        self.peers = LinkedPeers(
            parts.settings.instance,
            http,
            parts.peer_secret,
        )
        self.metrics = EntryMetrics()
        self.dispatcher = Dispatcher(parts.routing, self.peers, self.metrics)
        self.metrics.watch(
            self.dispatcher.open_requests,
            self.peers.count_links,
        )
        self.exchange = ConfigExchange(self.view, self.dispatcher, self.peers)
        self.status = StatusReader(
            parts.hello(),
            self.exchange,
            self.dispatcher,
            self.peers,
            self.gate,
        )
