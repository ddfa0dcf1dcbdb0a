"""What the tasks of run requests share."""

from __future__ import annotations

from dataclasses import dataclass

from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.messages.run import RunRequest
from sardinetrack.side.backend import BackendServer
from sardinetrack.side.backend_watch import ProbeNow
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.events import SideEvents
from sardinetrack.side.identity import SideIdentity
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics


@dataclass(frozen=True, slots=True)
class RunDependencies:
    """Parts of the side that each run request's task uses."""

    identity: SideIdentity
    configuration: SideConfiguration
    backend: BackendServer
    owner: SideEvents
    probe: MemoryObjectSendStream[ProbeNow]
    """Wakes the watch when the backend server fails."""
    log: DecisionLog
    metrics: SideMetrics
    send_seconds: float

    def record_refusal(
        self, run_request: RunRequest | None, reason: str
    ) -> None:
        """Log and count a run request that the daemon itself refuses."""
        self.metrics.refused.labels(reason).inc()
        if run_request is not None:
            self.log.record('refuse', run_request, reason)
