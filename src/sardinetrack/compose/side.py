"""Build and run a side, the sidecar process of a backend server."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.compose.platform import platform_client
from sardinetrack.config.model import SideSettings
from sardinetrack.config.secret import resolve_secret
from sardinetrack.http.client import HttpClient
from sardinetrack.links.secret import PeerSecret
from sardinetrack.process.incarnation import new_incarnation
from sardinetrack.process.ready import SideReady, print_ready
from sardinetrack.process.signals import run_until_drained
from sardinetrack.side.daemon import SideDaemon
from sardinetrack.side.dependencies import SideDependencies
from sardinetrack.side.relayed_configuration import RelayedConfiguration

_NO_SLOTS: Final = 0
"""A side admits no requests until its first configuration arrives."""


@asynccontextmanager
async def open_side(settings: SideSettings) -> AsyncIterator[SideDaemon]:
    """Build a side and serve until the context exits.

    :param settings: validated settings.
    :return: the running side.
    """
    incarnation = new_incarnation()
    async with HttpClient() as client:
        platform = platform_client(client, settings.platform)
        dependencies = SideDependencies(
            settings=settings,
            peer_secret=PeerSecret(resolve_secret(settings.peer_secret)),
            incarnation=incarnation,
            admission=SlotAdmission(incarnation, _NO_SLOTS),
            configuration=RelayedConfiguration(settings.pool),
            platform=platform,
        )
        async with SideDaemon(dependencies) as side:
            yield side


async def run_side(settings: SideSettings) -> int:
    """Run a side until a signal has drained it.

    :param settings: validated settings.
    :return: the exit code.
    """
    async with open_side(settings) as side:
        print_ready(
            SideReady(
                instance=settings.instance,
                pool=settings.pool,
                backend_server=settings.backend_server,
                peer_address=side.peer_server.address,
                operator_url=side.operator_server.url,
            ),
        )
        await run_until_drained(side)
    return 0
