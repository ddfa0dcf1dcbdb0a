"""What the tasks of orders share."""

from __future__ import annotations

from dataclasses import dataclass

from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.side.backend import BackendServer
from sardinetrack.side.backend_watch import ProbeNow
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.events import SideEvents
from sardinetrack.side.identity import SideIdentity


@dataclass(frozen=True, slots=True)
class RunParts:
    """Parts of the side that each order's task uses."""

    identity: SideIdentity
    configuration: SideConfiguration
    backend: BackendServer
    owner: SideEvents
    probe: MemoryObjectSendStream[ProbeNow]
