"""The sides of engines as neighbours that may watch the store."""

from __future__ import annotations

from sardinetrack.relay.fleet import Fleet
from sardinetrack.views.api import Neighbour, Neighbours
from sardinetrack.views.choice import ranked_neighbours


class SideNeighbours(Neighbours):
    """Every entry has a connection to each side, so it needs no other."""

    def __init__(self, fleet: Fleet) -> None:
        """Belong to an entry."""
        self._fleet = fleet

    def ranked(self) -> list[Neighbour]:
        """List the live sides, the one to ask first in front."""
        live = {link.name: link for link in self._fleet.sides.live}
        names = ranked_neighbours(
            self._fleet.settings.failure_domain,
            self._fleet.entries,
            {name: link.failure_domain for name, link in live.items()},
        )
        return [live[name] for name in names]
