"""Builds and connects the tasks and applications of a side."""

from __future__ import annotations

from typing import Final

import anyio

from sardinetrack.admission.server_condition import ServerCondition
from sardinetrack.http.client import HttpClient
from sardinetrack.links.server import LinkAcceptor
from sardinetrack.side.backend import BackendServer
from sardinetrack.side.backend_watch import BackendWatch, ProbeNow
from sardinetrack.side.dependencies import SideDependencies
from sardinetrack.side.events import SideEvent
from sardinetrack.side.identity import SideIdentity
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics
from sardinetrack.side.operator_application import OperatorApplication
from sardinetrack.side.owner import AdmissionOwner
from sardinetrack.side.owner_state import OwnerState
from sardinetrack.side.peer_application import PeerApplication
from sardinetrack.side.response_observer import ResponseObserver
from sardinetrack.side.run_dependencies import RunDependencies
from sardinetrack.side.run_endpoint import RunEndpoint

_WAITING_EVENTS: Final = 1024


class SideComponents:
    """The objects of one side, connected by memory streams."""

    def __init__(
        self, dependencies: SideDependencies, client: HttpClient
    ) -> None:
        """Build and connect the objects.

        :param dependencies: settings and decision objects of the side.
        :param client: for calls to the backend server.
        """
        self._dependencies = dependencies
        self._identity = SideIdentity.of(
            dependencies.settings, dependencies.incarnation
        )
        self._log = DecisionLog(self._identity)
        self._metrics = SideMetrics()
        streams = anyio.create_memory_object_stream[SideEvent](_WAITING_EVENTS)
        self.events = streams[0]
        self.condition = ServerCondition()
        self.observer = ResponseObserver(self.events)
        self._backend = BackendServer(
            dependencies.settings.backend_server,
            str(dependencies.settings.backend_url),
            client,
            self.observer,
        )
        probes = anyio.create_memory_object_stream[ProbeNow](1)
        self._probe = probes[0]
        state = OwnerState.build(
            self._identity,
            dependencies.admission,
            dependencies.configuration,
            self._metrics,
            self._probe,
            self.condition,
        )
        self.owner = AdmissionOwner(state, streams[1])
        self.watch = BackendWatch(
            self._backend,
            dependencies.configuration,
            dependencies.concurrency,
            self.events,
            probes[1],
            self.condition,
        )

    def record_surplus(self, origin: str) -> None:
        """Log and count a second response of the backend server."""
        self._metrics.surplus.labels('unread').inc()
        self._log.surplus_discarded(origin)

    def peer_application(self) -> PeerApplication:
        """Build the application for peers."""
        acceptor = LinkAcceptor(
            self._identity.hello(),
            self._dependencies.peer_secret,
            self.events,
            bounds=self._dependencies.link_limits,
        )
        run = RunEndpoint(
            RunDependencies(
                identity=self._identity,
                configuration=self._dependencies.configuration,
                backend=self._backend,
                owner=self.events,
                probe=self._probe,
                log=self._log,
                metrics=self._metrics,
                send_seconds=self._dependencies.send_seconds,
            ),
        )
        secret = self._dependencies.peer_secret
        return PeerApplication(secret, acceptor, self.events, run)

    def operator_application(self) -> OperatorApplication:
        """Build the application for operators."""
        return OperatorApplication(
            self.events,
            self._metrics,
            self._dependencies.settings.model_dump(mode='json'),
        )
