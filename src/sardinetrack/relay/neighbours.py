"""The sides of engines as neighbours that may watch the store."""

from __future__ import annotations

from sardinetrack.relay.entry_state import EntryState
from sardinetrack.views.api import Neighbour, NeighbourList
from sardinetrack.views.choice import ranked_neighbours


class SideNeighbours(NeighbourList):
    """Lists the live sides; every entry is connected to each side anyway."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def ranked(self) -> list[Neighbour]:
        """List the live sides, the preferred one first."""
        live = {link.name: link for link in self._state.sides.live}
        names = ranked_neighbours(
            self._state.settings.failure_domain,
            self._state.entries,
            {name: link.failure_domain for name, link in live.items()},
        )
        return [live[name] for name in names]
