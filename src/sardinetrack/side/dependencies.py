"""What a side is built from."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from sardinetrack.admission.api import Admission
from sardinetrack.config.model import SideSettings
from sardinetrack.links.api import LinkLimits
from sardinetrack.links.secret import PeerSecret
from sardinetrack.side.concurrency import ConcurrencyLimit, FixedLimit
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.store.api import Platform

_SEND_SECONDS: Final = 20.0


@dataclass(frozen=True, slots=True)
class SideDependencies:
    """Settings, secret and decision objects of one side process."""

    settings: SideSettings
    peer_secret: PeerSecret
    incarnation: str
    """Differs for each start of the process."""
    admission: Admission
    configuration: SideConfiguration
    concurrency: ConcurrencyLimit = field(default_factory=FixedLimit)
    link_limits: LinkLimits = field(default_factory=LinkLimits)
    platform: Platform | None = None
    """Stores the lease; without it a side sends no load commands."""
    send_seconds: float = _SEND_SECONDS
    """How long an entry may leave a chunk of its response unread."""
