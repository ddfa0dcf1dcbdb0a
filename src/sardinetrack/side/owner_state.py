"""State of the owner task, shared by its event handlers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.admission.api import Admission, AdmissionEffect
from sardinetrack.admission.server_condition import ServerCondition
from sardinetrack.links.table import LinkTable
from sardinetrack.side.active_attempts import ActiveAttempts
from sardinetrack.side.backend_watch import ProbeNow
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.identity import SideIdentity
from sardinetrack.side.link_state import (
    ConfigurationSync,
    GrantTracker,
    LoadBroadcaster,
)
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics

Effects = Sequence[AdmissionEffect]


@dataclass(frozen=True, slots=True)
class OwnerState:
    """State of the owner task; no other task accesses it."""

    identity: SideIdentity
    admission: Admission
    attempts: ActiveAttempts
    links: LinkTable
    grants: GrantTracker
    configuration_sync: ConfigurationSync
    load_broadcaster: LoadBroadcaster
    metrics: SideMetrics
    condition: ServerCondition
    """Written by the owner task only; others read it."""

    @classmethod
    def build(
        cls,
        identity: SideIdentity,
        admission: Admission,
        configuration: SideConfiguration,
        metrics: SideMetrics,
        probe: MemoryObjectSendStream[ProbeNow],
        condition: ServerCondition,
    ) -> OwnerState:
        """Create the state, without links and attempts."""
        links = LinkTable()
        return cls(
            identity=identity,
            admission=admission,
            attempts=ActiveAttempts(DecisionLog(identity), metrics),
            links=links,
            grants=GrantTracker(links),
            configuration_sync=ConfigurationSync(configuration, links, probe),
            load_broadcaster=LoadBroadcaster(links),
            metrics=metrics,
            condition=condition,
        )
