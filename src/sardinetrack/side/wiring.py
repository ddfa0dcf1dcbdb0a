"""Put the tasks and applications of a side together."""

from __future__ import annotations

from typing import Final

import anyio

from sardinetrack.http.client import HttpClient
from sardinetrack.links.server import LinkAcceptor
from sardinetrack.side.backend import BackendServer
from sardinetrack.side.backend_watch import BackendWatch, ProbeNow
from sardinetrack.side.core import OwnerCore
from sardinetrack.side.events import SideEvent
from sardinetrack.side.identity import SideIdentity
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics
from sardinetrack.side.operator_application import OperatorApplication
from sardinetrack.side.owner import AdmissionOwner
from sardinetrack.side.parts import SideParts
from sardinetrack.side.peer_application import PeerApplication
from sardinetrack.side.run_endpoint import RunEndpoint
from sardinetrack.side.run_parts import RunParts

_WAITING_EVENTS: Final = 1024


class Wiring:
    """The objects of one side, connected by memory streams."""

    def __init__(self, parts: SideParts, client: HttpClient) -> None:
        """Connect everything.

        :param client: for calls on the backend server.
        """
        self._parts = parts
        self._identity = SideIdentity.of(parts.settings, parts.incarnation)
        self._metrics = SideMetrics()
        self._backend = BackendServer(
            parts.settings.backend_server,
            str(parts.settings.backend_url),
            client,
        )
        streams = anyio.create_memory_object_stream[SideEvent](_WAITING_EVENTS)
        self.events = streams[0]
        probes = anyio.create_memory_object_stream[ProbeNow](1)
        self._probe = probes[0]
        core = OwnerCore.build(
            self._identity,
            parts.admission,
            parts.configuration,
            self._metrics,
            self._probe,
        )
        self.owner = AdmissionOwner(core, streams[1])
        self.watch = BackendWatch(
            self._backend,
            parts.configuration,
            parts.concurrency,
            self.events,
            probes[1],
        )

    def peer_application(self) -> PeerApplication:
        """Build the application for peers."""
        acceptor = LinkAcceptor(
            self._identity.hello(),
            self._parts.peer_secret,
            self.events,
            bounds=self._parts.link_bounds,
        )
        run = RunEndpoint(
            RunParts(
                identity=self._identity,
                configuration=self._parts.configuration,
                backend=self._backend,
                owner=self.events,
                probe=self._probe,
                log=DecisionLog(self._identity),
                metrics=self._metrics,
                send_seconds=self._parts.send_seconds,
            ),
        )
        secret = self._parts.peer_secret
        return PeerApplication(secret, acceptor, self.events, run)

    def operator_application(self) -> OperatorApplication:
        """Build the application for operators."""
        return OperatorApplication(
            self.events,
            self._metrics,
            self._parts.settings.model_dump(mode='json'),
        )
