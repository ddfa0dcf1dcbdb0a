"""What the owner task holds; its event handlers share it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.admission.api import Admission, SideEffect
from sardinetrack.links.table import LinkTable
from sardinetrack.side.backend_watch import ProbeNow
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.identity import SideIdentity
from sardinetrack.side.links_state import (
    Announcer,
    ConfigurationExchange,
    Grants,
)
from sardinetrack.side.live import LiveAttempts
from sardinetrack.side.log import DecisionLog
from sardinetrack.side.metrics import SideMetrics

Effects = Sequence[SideEffect]


@dataclass(frozen=True, slots=True)
class OwnerCore:
    """State of the owner task; nobody else touches it."""

    identity: SideIdentity
    admission: Admission
    live: LiveAttempts
    links: LinkTable
    grants: Grants
    exchange: ConfigurationExchange
    announcer: Announcer
    metrics: SideMetrics

    @classmethod
    def build(
        cls,
        identity: SideIdentity,
        admission: Admission,
        configuration: SideConfiguration,
        metrics: SideMetrics,
        probe: MemoryObjectSendStream[ProbeNow],
    ) -> OwnerCore:
        """Start with no links and no attempts."""
        links = LinkTable()
        return cls(
            identity=identity,
            admission=admission,
            live=LiveAttempts(DecisionLog(identity), metrics),
            links=links,
            grants=Grants(links),
            exchange=ConfigurationExchange(configuration, links, probe),
            announcer=Announcer(links),
            metrics=metrics,
        )
