"""The components that the listeners and tasks of an entry share."""

from __future__ import annotations

from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.entry.config_sync import ConfigSync
from sardinetrack.entry.dependencies import EntryDependencies
from sardinetrack.entry.dispatcher import Dispatcher
from sardinetrack.entry.drain_gate import DrainGate
from sardinetrack.entry.linked_peers import LinkedPeers
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.status import StatusReader
from sardinetrack.http.client import HttpClient


class EntryComponents:
    """Builds and connects the components of an entry.

    All of them are used on the event loop only, between two awaits.
    """

    def __init__(
        self, dependencies: EntryDependencies, http: HttpClient
    ) -> None:
        """Build the components.

        :param dependencies: settings and collaborators of the entry.
        :param http: the client for requests to sides.
        """
        self.dependencies = dependencies
        self.gate = DrainGate()
        self.view = CatalogueView()
        self.peers = LinkedPeers(
            dependencies.settings.instance,
            http,
            dependencies.peer_secret,
        )
        self.metrics = EntryMetrics()
        self.dispatcher = Dispatcher(
            dependencies.routing, self.peers, self.metrics
        )
        self.metrics.set_gauges(
            self.dispatcher.open_requests,
            self.peers.count_links,
        )
        self.config_sync = ConfigSync(self.view, self.dispatcher, self.peers)
        self.status = StatusReader(
            dependencies.hello(),
            self.config_sync,
            self.dispatcher,
            self.peers,
            self.gate,
        )
