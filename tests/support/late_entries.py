"""A fleet whose entries reach each other through slow proxies."""

from __future__ import annotations

from typing import Any, Final

from support.fleet import Fleet
from support.scene import Plan, Scene
from support.stand_ins import StandIns
from support.wires import Proxies, Proxy

_ENTRY: Final = 'entry'


class LateEntriesFleet(Fleet):
    """Lists each entry at the address of a proxy that delays all bytes."""

    def __init__(self, delay_seconds: float) -> None:
        """Build a fleet without processes.

        :param delay_seconds: delay of each direction.
        """
        super().__init__()
        self._delay_seconds = delay_seconds
        self._open_proxies: Proxies = self.keep(Proxies())
        self.entry_proxies: dict[str, Proxy] = {}

    def list_instance(self, name: str, **row: Any) -> None:
        """List an instance; an entry is listed at its proxy."""
        if row['role'] == _ENTRY:
            row['address'] = self._open_proxy(name, row['address'])
        super().list_instance(name, **row)

    def _open_proxy(self, name: str, address: str) -> str:
        proxy = self._open_proxies.to(address)
        proxy.delay(self._delay_seconds)
        self.entry_proxies[name] = proxy
        return proxy.address


class LateEntriesScene(Scene):
    """A scene with such a fleet."""

    def __init__(self, plan: Plan, delay_seconds: float) -> None:
        """Build a scene; ``start`` starts its processes.

        :param delay_seconds: delay of each direction between entries.
        """
        super().__init__(plan)
        self.fleet.__exit__(None, None, None)
        self.fleet = LateEntriesFleet(delay_seconds)
        self.stand_ins = StandIns(self.fleet)
