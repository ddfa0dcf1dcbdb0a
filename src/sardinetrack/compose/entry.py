"""Build and run an entry, the router process that callers connect to."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sardinetrack.compose.platform import platform_client
from sardinetrack.config.model import EntrySettings
from sardinetrack.config.secret import resolve_secret
from sardinetrack.entry.daemon import EntryDaemon
from sardinetrack.entry.dependencies import EntryDependencies
from sardinetrack.http.client import HttpClient
from sardinetrack.links.secret import PeerSecret
from sardinetrack.once.claims import ClaimSettings, ShardedClaimStore
from sardinetrack.process.incarnation import new_incarnation
from sardinetrack.process.ready import EntryReady, print_ready
from sardinetrack.process.signals import run_until_drained
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity


@asynccontextmanager
async def open_entry(settings: EntrySettings) -> AsyncIterator[EntryDaemon]:
    """Build an entry and serve until the context exits.

    :param settings: validated settings.
    :return: the running entry.
    """
    incarnation = new_incarnation()
    async with HttpClient() as client:
        platform = platform_client(client, settings.platform)
        claim_settings = ClaimSettings(
            shards=settings.once.shards,
            key_retention_seconds=settings.once.keep_seconds,
        )
        async with ShardedClaimStore(platform, claim_settings) as claims:
            dependencies = EntryDependencies(
                settings=settings,
                peer_secret=PeerSecret(resolve_secret(settings.peer_secret)),
                incarnation=incarnation,
                routing=Router(
                    ProcessIdentity(settings.instance, incarnation),
                    random.Random(),
                ),
                platform=platform,
                claims=claims,
                balancer_seconds=settings.balancer_seconds,
            )
            async with EntryDaemon(dependencies) as entry:
                yield entry


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry until a signal has drained it.

    :param settings: validated settings.
    :return: the exit code.
    """
    async with open_entry(settings) as entry:
        print_ready(
            EntryReady(
                instance=settings.instance,
                callers_url=entry.callers.url,
                peer_address=entry.peer.address,
                operator_url=entry.operator.url,
            ),
        )
        await run_until_drained(entry)
    return 0
