"""A fleet for failure tests, with proxies, stand-ins and callers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from support.caller import Caller, KeepAliveCaller
from support.crowd import CallerPool
from support.fleet import Fleet, eventually
from support.stand_ins import StandIns
from support.standard import (
    ENTRIES,
    MODEL,
    SERVICE,
    TOKEN,
    daemons,
    run_concurrently,
)
from support.wires import Proxies, Proxy

SMALL_TOKEN: Final = 'skiff-token'
_HIGH_LIMIT: Final = 10_000


@dataclass(frozen=True)
class Plan:
    """What a fleet consists of."""

    engines: int = 0
    services: int = 0
    slots: int = 4
    """Slots of each backend server."""
    sides_proxied: bool = False
    """Whether entries reach each side through a TCP proxy."""
    backends_proxied: bool = False
    """Whether each side reaches its backend server through a TCP proxy."""
    max_run_seconds: float = 60.0
    engine: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)

    @property
    def servers(self) -> list[tuple[str, str]]:
        """The pool and name of each backend server."""
        engines = [(MODEL, f'engine-{one}') for one in range(self.engines)]
        services = [(SERVICE, f'chart-{one}') for one in range(self.services)]
        return engines + services


class Scene:
    """A running fleet with proxies, stand-ins and callers."""

    def __init__(self, plan: Plan) -> None:
        """Build a scene; ``start`` starts its processes."""
        self.plan = plan
        self.fleet = Fleet()
        self.proxies: dict[str, Proxy] = {}
        self.stand_ins = StandIns(self.fleet)
        self.caller = Caller(TOKEN)
        self.small_caller = Caller(SMALL_TOKEN)
        self.keep_alive_caller = KeepAliveCaller(TOKEN)
        self.caller_pool: CallerPool
        self._open_proxies: Proxies

    def start(self) -> None:
        """Start all processes and wait until they are linked."""
        self._open_proxies = self.fleet.keep(Proxies())
        self.caller_pool = self.fleet.keep(CallerPool())
        urls = run_concurrently(
            self.fleet.start_platform,
            *(partial(self._start_server, *row) for row in self.plan.servers),
        )[1:]
        self._fill_catalogue()
        rows = zip(self.plan.servers, urls, strict=True)
        run_concurrently(
            *(partial(self.start_side, *row, url) for row, url in rows),
        )
        start_entry = self.fleet.start_entry
        run_concurrently(
            *(partial(start_entry, name, **self.plan.entry) for name in ENTRIES)
        )
        self.fleet.wait_ready(*daemons(self.fleet))
        for entry in ENTRIES:
            self.wait_in_use(entry, len(self.plan.servers))
        self.wait_linked()

    def start_side(
        self,
        pool: str,
        server: str,
        url: str,
        **settings: Any,
    ) -> None:
        """Start a side, with the proxies that the plan asks for."""
        if self.plan.backends_proxied:
            url = self._proxy_opener(server)(url.removeprefix('http://'))
            url = f'http://{url}'
        listed: Callable[[str], str] = str
        if self.plan.sides_proxied:
            listed = self._proxy_opener(f'side-{server}')
        self.fleet.start_side(pool, server, url, listed=listed, **settings)

    def restart_side(self, pool: str, server: str, **settings: Any) -> None:
        """Start a side again behind the proxies of the former process."""
        name = f'side-{server}'
        backend = self.fleet.processes[server].ready['url']
        if self.plan.backends_proxied:
            backend = f'http://{self.proxies[server].address}'
        listed = str
        if self.plan.sides_proxied:
            listed = partial(_constant, self.proxies[name].address)
        self.fleet.start_side(pool, server, backend, listed=listed, **settings)

    def wait_in_use(self, entry: str, sides: int) -> None:
        """Wait until an entry uses so many sides that offer slots."""
        eventually(lambda: len(self.used_servers(entry)) == sides)

    def wait_linked(self) -> None:
        """Wait until the entries are linked with each other."""
        eventually(self._entries_linked)

    def used_servers(self, entry: str) -> list[str]:
        """Return the backend servers that an entry sends requests to."""
        pools = self.fleet.operator(entry, '/status').json()['pools']
        return [
            side['backend_server']
            for pool in pools
            for side in pool['sides']
            if side['in_use'] and side['phase'] == 'serving' and side['limit']
        ]

    def entry_urls(self) -> list[str]:
        """Return the callers' URLs of the entries that run."""
        return [
            self.fleet.url(name)
            for name in ENTRIES
            if self.fleet.processes[name].running
        ]

    def load(self, server: str) -> dict[str, Any]:
        """Read the load that a side reports on its status page."""
        response = self.fleet.operator(f'side-{server}', '/status')
        return dict(response.json()['load'])

    def running_servers(self) -> list[str]:
        """Return the backend servers that run and whose sides run."""
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

    def _proxy_opener(self, name: str) -> Callable[[str], str]:
        def open_proxy(address: str) -> str:
            self.proxies[name] = self._open_proxies.to(address)
            return self.proxies[name].address

        return open_proxy

    def _start_server(self, pool: str, name: str) -> str:
        if pool == SERVICE:
            return self.fleet.start_service(name)
        return self.fleet.start_engine(name, model=MODEL, **self.plan.engine)

    def _fill_catalogue(self) -> None:
        high_limits = {'concurrency': _HIGH_LIMIT, 'waiting': _HIGH_LIMIT}
        self.fleet.workspace(
            'pilot', TOKEN, **high_limits, rate_per_second=float(_HIGH_LIMIT)
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
