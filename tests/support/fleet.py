"""A small fleet of separate processes on loopback."""

from __future__ import annotations

import json
import linecache
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from functools import partial
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from types import TracebackType
from typing import Any, Final, Self

from support.caller import Caller, CallerResponse
from support.process import Process

PLATFORM_TOKEN: Final = 'platform-token'
PEER_SECRET: Final = 'peer-secret'
_DOMAINS: Final = ('galata', 'asparuhovo', 'kamchia')
_READY_SECONDS: Final = 30.0
_POLL_INTERVAL_SECONDS: Final = 0.05


def eventually(
    check: Any,
    *,
    within_seconds: float = _READY_SECONDS,
    shows: Any = None,
) -> Any:
    """Poll until a check returns a true value.

    :param within_seconds: fails with an assertion error after this time.
    :param shows: returns the state that the check reads, for a failure.
    :return: the check's result.
    """
    deadline = time.monotonic() + within_seconds
    while True:
        found = check()
        if found:
            return found
        if time.monotonic() >= deadline:
            seen = found if shows is None else shows()
            raise AssertionError(
                f'not within {within_seconds} s: {_where(check)}: {seen}'
            )
        time.sleep(_POLL_INTERVAL_SECONDS)


def _where(check: Any) -> str:
    """Return the file and line of a check."""
    code = getattr(check, '__code__', None)
    if code is None:
        return repr(check)
    path, line = code.co_filename, code.co_firstlineno
    return f'{path}:{line} {linecache.getline(path, line).strip()}'


class Fleet:
    """Processes by name; all are stopped at the end of the context."""

    def __init__(self) -> None:
        self._stack = ExitStack()
        self.folder = Path(self._stack.enter_context(TemporaryDirectory()))
        self.processes: dict[str, Process] = {}
        self.platform_url = ''
        self.platform = Caller(PLATFORM_TOKEN)

    def __enter__(self) -> Self:
        """Return the fleet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and remove their files."""
        self._stack.close()

    def start(self, name: str, command: list[str], settings: Any) -> Process:
        """Start a command with a settings file; wait for its ready line."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        process = Process(name, [*command, str(path)], self.folder)
        self.processes[name] = self._stack.enter_context(process)
        process.wait_ready()
        return process

    def keep(self, resource: AbstractContextManager[Any]) -> Any:
        """Enter a context that ends with the fleet."""
        return self._stack.enter_context(resource)

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        settings = {'token': {'value': PLATFORM_TOKEN}}
        command = ['stand-in', 'platform']
        process = self.start('platform', command, settings)
        self.platform_url = process.ready['url']

    def start_engine(self, name: str, **settings: Any) -> str:
        """Start a model engine's stand-in.

        :return: its URL.
        """
        process = self.start(name, ['stand-in', 'engine'], settings)
        return str(process.ready['url'])

    def start_service(self, name: str, **settings: Any) -> str:
        """Start a plain service's stand-in.

        :return: its URL.
        """
        process = self.start(name, ['stand-in', 'service'], settings)
        return str(process.ready['url'])

    def start_side(
        self,
        pool: str,
        backend_server: str,
        backend_url: str,
        *,
        instance: str | None = None,
        listed: Callable[[str], str] = str,
        **settings: Any,
    ) -> Process:
        """Start a side and add it to the platform's instance list.

        :param instance: by default named after the backend server.
        :param listed: maps the side's address to the listed one, such as that
            of a proxy in front of it.
        """
        name = instance or f'side-{backend_server}'
        process = self.start(
            name,
            ['side'],
            {
                **self._common_settings(name),
                'pool': pool,
                'backend_server': backend_server,
                'backend_url': backend_url,
                **settings,
            },
        )
        self.list_instance(
            name,
            role='side',
            address=listed(process.ready['peer_address']),
            pool=pool,
            backend_server=backend_server,
        )
        return process

    def start_entry(self, name: str, **settings: Any) -> Process:
        """Start an entry and add it to the platform's instance list."""
        process = self.start(
            name,
            ['entry'],
            {**self._common_settings(name), 'balancer_seconds': 0, **settings},
        )
        self.list_instance(
            name,
            role='entry',
            address=process.ready['peer_address'],
        )
        return process

    def list_instance(self, name: str, **row: Any) -> None:
        """Add an instance to the platform's list, as its scheduler would."""
        content = {
            'instance': name,
            'failure_domain': self._domain(name),
            'pool': '',
            'backend_server': '',
            'state': 'live',
            **row,
        }
        response = self.platform.call(
            'PUT',
            f'{self.platform_url}/instances/{name}',
            json.dumps(content).encode(),
        )
        assert response.status < 300, response

    def unlist_instance(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        self.platform.call('DELETE', f'{self.platform_url}/instances/{name}')

    def faults(self, **faults: Any) -> None:
        """Replace the platform's faults; no faults clear them."""
        response = self.platform.call(
            'PUT',
            f'{self.platform_url}/faults',
            json.dumps(faults).encode(),
        )
        assert response.status < 300, response

    def put_catalogue(self, entry: dict[str, Any]) -> CallerResponse:
        """Write a catalogue object directly into the platform's store."""
        key = f'catalogue/{entry["kind"]}/{entry["name"]}'
        response = self.platform.call(
            'PUT',
            f'{self.platform_url}/objects/{key}',
            json.dumps(entry).encode(),
        )
        assert response.status < 300, response
        return response

    def workspace(self, name: str, token: str, **limits: Any) -> None:
        """Write a workspace with one token into the catalogue."""
        self.put_catalogue(
            {
                'kind': 'workspace',
                'name': name,
                'owner': 'tests',
                'class': 'standard',
                'limits': limits,
                'token_hashes': [sha256(token.encode()).hexdigest()],
            },
        )

    def model_pool(self, name: str, model: str, **limits: Any) -> None:
        """Write a pool of model engines into the catalogue."""
        self.put_catalogue(
            {
                'kind': 'pool',
                'name': name,
                'owner': 'tests',
                'class': 'model',
                'limits': limits,
                'models': [model],
            },
        )

    def service_pool(
        self,
        name: str,
        repeatable: list[dict[str, str]],
        **limits: Any,
    ) -> None:
        """Write a pool of plain services into the catalogue."""
        self.put_catalogue(
            {
                'kind': 'pool',
                'name': name,
                'owner': 'tests',
                'class': 'service',
                'limits': limits,
                'repeatable': repeatable,
            },
        )

    def url(self, entry: str) -> str:
        """Return the callers' URL of an entry."""
        return str(self.processes[entry].ready['callers_url'])

    def operator(self, name: str, page: str) -> CallerResponse:
        """Read a page of a process's operator port."""
        url = self.processes[name].ready['operator_url']
        return self.platform.call('GET', f'{url}{page}')

    def wait_ready(self, *names: str) -> None:
        """Wait until processes report that they are ready."""
        for name in names:
            eventually(partial(self._is_ready, name))

    def wait_linked(self, entry: str, sides: int) -> None:
        """Wait until an entry uses so many sides."""
        eventually(lambda: self._count_sides(entry) >= sides)

    def _is_ready(self, name: str) -> bool:
        return self.operator(name, '/readyz').status == 200

    def _count_sides(self, entry: str) -> int:
        pools = self.operator(entry, '/status').json()['pools']
        return sum(len(pool['sides']) for pool in pools)

    def _common_settings(self, name: str) -> dict[str, Any]:
        return {
            'instance': name,
            'failure_domain': self._domain(name),
            'platform': {
                'url': self.platform_url,
                'token': {'value': PLATFORM_TOKEN},
            },
            'peer_secret': {'value': PEER_SECRET},
        }

    def _domain(self, name: str) -> str:
        return _DOMAINS[sum(name.encode()) % len(_DOMAINS)]
