"""A fleet in which things fail, with all that the tests need around it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from support.caller import Caller, KeepingCaller
from support.crowd import Crowd
from support.fleet import Fleet, eventually
from support.stand_ins import StandIns
from support.standard import (
    ENTRIES,
    MODEL,
    SERVICE,
    TOKEN,
    daemons,
    side_by_side,
)
from support.wires import Wire, Wires

SMALL_TOKEN: Final = 'skiff-token'
_PLENTY: Final = 10_000


@dataclass(frozen=True)
class Plan:
    """What a fleet consists of."""

    engines: int = 0
    services: int = 0
    slots: int = 4
    """Of each backend server."""
    wired: bool = False
    """A relay stands before each side."""
    backend_wired: bool = False
    """A relay stands before each backend server."""
    max_run_seconds: float = 60.0
    engine: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)

    @property
    def servers(self) -> list[tuple[str, str]]:
        """Pool and name of each backend server."""
        engines = [(MODEL, f'engine-{one}') for one in range(self.engines)]
        services = [(SERVICE, f'chart-{one}') for one in range(self.services)]
        return engines + services


class Scene:
    """A running fleet with wires, stand-ins and callers."""

    def __init__(self, plan: Plan) -> None:
        """Prepare; ``start`` starts it."""
        self.plan = plan
        self.fleet = Fleet()
        self.wires: dict[str, Wire] = {}
        self.stand_ins = StandIns(self.fleet)
        self.caller = Caller(TOKEN)
        self.small = Caller(SMALL_TOKEN)
        self.keeping = KeepingCaller(TOKEN)
        self.crowd: Crowd
        self._opened: Wires

    def start(self) -> None:
        """Start all processes and wait until they are linked."""
        self._opened = self.fleet.keep(Wires())
        self.crowd = self.fleet.keep(Crowd())
        urls = side_by_side(
            self.fleet.start_platform,
            *(partial(self._start_server, *row) for row in self.plan.servers),
        )[1:]
        self._fill_catalogue()
        rows = zip(self.plan.servers, urls, strict=True)
        side_by_side(
            *(partial(self.start_side, *row, url) for row, url in rows),
        )
        start_entry = self.fleet.start_entry
        side_by_side(
            *(partial(start_entry, name, **self.plan.entry) for name in ENTRIES)
        )
        self.fleet.wait_ready(*daemons(self.fleet))
        for entry in ENTRIES:
            self.wait_used(entry, len(self.plan.servers))
        self.wait_linked()

    def start_side(
        self,
        pool: str,
        server: str,
        url: str,
        **settings: Any,
    ) -> None:
        """Start a side, behind a wire if the plan says so."""
        if self.plan.backend_wired:
            url = self._through(server)(url.removeprefix('http://'))
            url = f'http://{url}'
        listed: Callable[[str], str] = str
        if self.plan.wired:
            listed = self._through(f'side-{server}')
        self.fleet.start_side(pool, server, url, listed=listed, **settings)

    def restart_side(self, pool: str, server: str, **settings: Any) -> None:
        """Start a side anew behind the wires of the one before."""
        name = f'side-{server}'
        backend = self.fleet.processes[server].ready['url']
        if self.plan.backend_wired:
            backend = f'http://{self.wires[server].address}'
        listed = str
        if self.plan.wired:
            listed = partial(_constant, self.wires[name].address)
        self.fleet.start_side(pool, server, backend, listed=listed, **settings)

    def wait_used(self, entry: str, sides: int) -> None:
        """Wait until an entry knows of free slots at so many sides."""
        eventually(lambda: len(self.used(entry)) == sides)

    def wait_linked(self) -> None:
        """Wait until the entries are linked with each other."""
        eventually(self._entries_linked)

    def used(self, entry: str) -> list[str]:
        """Name the backend servers that get work of an entry."""
        pools = self.fleet.operator(entry, '/status').json()['pools']
        return [
            side['backend_server']
            for pool in pools
            for side in pool['sides']
            if side['in_use'] and side['phase'] == 'serving' and side['limit']
        ]

    def entry_urls(self) -> list[str]:
        """Where callers reach the entries that live."""
        return [
            self.fleet.url(name)
            for name in ENTRIES
            if self.fleet.processes[name].running
        ]

    def load(self, server: str) -> dict[str, Any]:
        """Read what a side tells of its slots."""
        answer = self.fleet.operator(f'side-{server}', '/status')
        return dict(answer.json()['load'])

    def living(self) -> list[str]:
        """Name the backend servers that run and whose sides run."""
        processes = self.fleet.processes
        return [
            server
            for _, server in self.plan.servers
            if processes[server].running and processes[f'side-{server}'].running
        ]

    def _entries_linked(self) -> bool:
        return all(
            len(self.fleet.operator(entry, '/status').json()['entries'])
            == len(ENTRIES) - 1
            for entry in ENTRIES
        )

    def _through(self, name: str) -> Callable[[str], str]:
        def open_wire(address: str) -> str:
            self.wires[name] = self._opened.to(address)
            return self.wires[name].address

        return open_wire

    def _start_server(self, pool: str, name: str) -> str:
        if pool == SERVICE:
            return self.fleet.start_service(name)
        return self.fleet.start_engine(name, model=MODEL, **self.plan.engine)

    def _fill_catalogue(self) -> None:
        plenty = {'concurrency': _PLENTY, 'waiting': _PLENTY}
        self.fleet.workspace(
            'pilot', TOKEN, **plenty, rate_per_second=float(_PLENTY)
        )
        self.fleet.workspace('skiff', SMALL_TOKEN)
        limits = {
            'slots_per_server': self.plan.slots,
            'max_run_seconds': self.plan.max_run_seconds,
        }
        if self.plan.engines:
            self.fleet.model_pool(MODEL, MODEL, **limits)
        if self.plan.services:
            reads = [{'method': 'GET', 'path_prefix': '/'}]
            self.fleet.service_pool(SERVICE, reads, **limits)


def _constant(found: str, _: str) -> str:
    return found
