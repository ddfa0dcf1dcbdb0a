"""Access to the platform and the instances for operators' commands."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from sardinetrack.compose.platform import platform_client
from sardinetrack.config.model import OperatorSettings
from sardinetrack.config.secret import resolve_secret
from sardinetrack.http.client import HttpClient
from sardinetrack.links.secret import PeerSecret
from sardinetrack.store.api import Platform


@dataclass(frozen=True, slots=True)
class OperatorAccess:
    """HTTP client, platform client and the peers' secret of an operator."""

    client: HttpClient
    platform: Platform
    secret: PeerSecret


@asynccontextmanager
async def open_access(
    settings: OperatorSettings,
) -> AsyncIterator[OperatorAccess]:
    """Open a client until the context exits."""
    secret = PeerSecret(resolve_secret(settings.peer_secret))
    async with HttpClient() as client:
        platform = platform_client(client, settings.platform)
        yield OperatorAccess(client, platform, secret)
