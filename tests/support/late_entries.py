"""A fleet whose entries reach each other through slow wires."""

from __future__ import annotations

from typing import Any, Final

from support.fleet import Fleet
from support.scene import Plan, Scene
from support.stand_ins import StandIns
from support.wires import Wire, Wires

_ENTRY: Final = 'entry'


class LateEntriesFleet(Fleet):
    """Lists each entry at the address of a wire that delays all bytes."""

    def __init__(self, delay_seconds: float) -> None:
        """Prepare.

        :param delay_seconds: of each direction.
        """
        super().__init__()
        self._delay_seconds = delay_seconds
        self._opened: Wires = self.keep(Wires())
        self.entry_wires: dict[str, Wire] = {}

    def list_instance(self, name: str, **row: Any) -> None:
        """List an instance; an entry behind its wire."""
        if row['role'] == _ENTRY:
            row['address'] = self._through(name, row['address'])
        super().list_instance(name, **row)

    def _through(self, name: str, address: str) -> str:
        wire = self._opened.to(address)
        wire.delay(self._delay_seconds)
        self.entry_wires[name] = wire
        return wire.address


class LateEntriesScene(Scene):
    """A scene around such a fleet."""

    def __init__(self, plan: Plan, delay_seconds: float) -> None:
        """Prepare; ``start`` starts it."""
        super().__init__(plan)
        self.fleet.__exit__(None, None, None)
        self.fleet = LateEntriesFleet(delay_seconds)
        self.stand_ins = StandIns(self.fleet)
