"""What a side knows of its backend server's wishes."""

from __future__ import annotations

from dataclasses import dataclass, field

from sardinetrack.admission.departure import Departure
from sardinetrack.admission.rest import RestPeriod


@dataclass(frozen=True, slots=True)
class ServerCondition:
    """Whether the backend server rests or leaves."""

    rest: RestPeriod = field(default_factory=RestPeriod)
    departure: Departure = field(default_factory=Departure)

    def accepts_work(self, now: float) -> bool:
        """Whether the server may be sent more than queries of its load."""
        return not (self.departure.is_active or self.rest.is_active(now))
