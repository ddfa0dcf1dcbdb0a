"""Run a fleet in one process, with a stand-in platform and backend servers."""

from __future__ import annotations

import secrets
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from sardinetrack.compose.entry import open_entry
from sardinetrack.compose.local_catalogue import (
    MODEL,
    MODEL_POOL,
    SERVICE_POOL,
    write_catalogue,
)
from sardinetrack.compose.local_ready import wait_ready
from sardinetrack.compose.side import open_side
from sardinetrack.config.model import EntrySettings, SideSettings
from sardinetrack.entry.daemon import EntryDaemon
from sardinetrack.http.server import serve
from sardinetrack.process.api import Drainable
from sardinetrack.process.ready import LocalReady, print_ready
from sardinetrack.process.signals import run_until_drained
from sardinetrack.side.daemon import SideDaemon
from sardinetrack.standin.engine import Engine
from sardinetrack.standin.hosting import serve_standin
from sardinetrack.standin.platform import PlatformStandin
from sardinetrack.standin.service import Service
from sardinetrack.standin.settings import EngineSettings, ServiceSettings
from sardinetrack.store.api import ListedInstance
from sardinetrack.store.in_process import MemoryPlatform

_IP: Final = '127.0.0.1'
_FAILURE_DOMAIN: Final = 'local'
_ENGINE_COUNT: Final = 2
_SERVICE_COUNT: Final = 2
_TOKEN_BYTES: Final = 18


class LocalFleet(Drainable):
    """A small fleet on loopback: one entry, sides and stand-ins."""

    def __init__(self, port: int) -> None:
        """Create the fleet's secrets and an empty platform.

        :param port: the callers' port; 0 takes any free one.
        """
        self._port = port
        self._token = secrets.token_urlsafe(_TOKEN_BYTES)
        self._platform_token = secrets.token_urlsafe(_TOKEN_BYTES)
        self._peer_secret = secrets.token_urlsafe(_TOKEN_BYTES)
        self._platform = MemoryPlatform()
        self._platform_url = ''
        self._entry: EntryDaemon
        self._sides: list[SideDaemon] = []

    @asynccontextmanager
    async def open(self) -> AsyncIterator[LocalReady]:
        """Serve until the context exits.

        :return: the addresses and the token that callers need.
        """
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(
                serve(
                    PlatformStandin(self._platform_token, self._platform),
                    _IP,
                    0,
                ),
            )
            self._platform_url = server.url
            await write_catalogue(self._platform, self._token)
            await self._open_backend_servers(stack)
            self._entry = await stack.enter_async_context(
                open_entry(self._entry_settings()),
            )
            await wait_ready(self._operator_urls())
            operator_url = self._entry.operator.url
            yield LocalReady(
                entry_url=self._entry.callers.url,
                token=self._token,
                model=MODEL,
                service=SERVICE_POOL,
                metrics_url=f'{operator_url}/metrics',
            )

    async def run(self) -> None:
        """Wait until the entry has drained."""
        await self._entry.run()

    async def drain(self) -> None:
        """Drain the entry; after that the sides have no requests either."""
        await self._entry.drain()

    async def _open_backend_servers(self, stack: AsyncExitStack) -> None:
        for number in range(_ENGINE_COUNT):
            engine = Engine(EngineSettings(model=MODEL))
            url = await stack.enter_async_context(serve_standin(engine, _IP, 0))
            await self._open_side(stack, MODEL_POOL, f'engine-{number}', url)
        for number in range(_SERVICE_COUNT):
            service = Service(ServiceSettings())
            url = await stack.enter_async_context(
                serve_standin(service, _IP, 0)
            )
            name = f'service-{number}'
            await self._open_side(stack, SERVICE_POOL, name, url)

    async def _open_side(
        self,
        stack: AsyncExitStack,
        pool: str,
        backend_server: str,
        url: str,
    ) -> None:
        settings = self._side_settings(pool, backend_server, url)
        side = await stack.enter_async_context(open_side(settings))
        self._sides.append(side)
        self._platform.set_instance(
            ListedInstance(
                instance=settings.instance,
                role='side',
                address=side.peer_server.address,
                failure_domain=_FAILURE_DOMAIN,
                pool=pool,
                backend_server=backend_server,
            ),
        )

    def _operator_urls(self) -> list[str]:
        sides = [side.operator_server.url for side in self._sides]
        return [self._entry.operator.url, *sides]

    def _entry_settings(self) -> EntrySettings:
        return EntrySettings.model_validate(
            {
                **self._common_settings('entry-0'),
                'callers': {'ip': _IP, 'port': self._port},
                'balancer_seconds': 0,
            },
        )

    def _side_settings(
        self,
        pool: str,
        backend_server: str,
        url: str,
    ) -> SideSettings:
        return SideSettings.model_validate(
            {
                **self._common_settings(f'side-{backend_server}'),
                'pool': pool,
                'backend_server': backend_server,
                'backend_url': url,
            },
        )

    def _common_settings(self, instance: str) -> dict[str, object]:
        return {
            'instance': instance,
            'failure_domain': _FAILURE_DOMAIN,
            'platform': {
                'url': self._platform_url,
                'token': {'value': self._platform_token},
            },
            'peer_secret': {'value': self._peer_secret},
        }


async def run_local(port: int) -> int:
    """Run until a signal has drained the entry.

    :param port: the callers' port; 0 takes any free one.
    :return: the exit code.
    """
    fleet = LocalFleet(port)
    async with fleet.open() as ready:
        print_ready(ready)
        await run_until_drained(fleet)
    return 0
