"""The project's own decisions as a policy under measurement."""

from __future__ import annotations

from random import Random

from sardinetrack.admission.api import Admission
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.routing.api import RoutingPolicy
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity


class FairPolicy:
    """The policy that the daemons use."""

    def routing(
        self, identity: ProcessIdentity, random: Random
    ) -> RoutingPolicy:
        """Build an entry's decisions."""
        return Router(identity, random)

    def admission(self, incarnation: str, limit: int) -> Admission:
        """Build a side's decisions."""
        return SlotAdmission(incarnation, limit)
