"""What an operator's commands reach with an operator's settings."""

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
    """The platform, and what peers let in."""

    client: HttpClient
    platform: Platform
    secret: PeerSecret


@asynccontextmanager
async def open_access(
    settings: OperatorSettings,
) -> AsyncIterator[OperatorAccess]:
    """Open a client for the time of the context."""
    secret = PeerSecret(resolve_secret(settings.peer_secret))
    async with HttpClient() as client:
        platform = platform_client(client, settings.platform)
        yield OperatorAccess(client, platform, secret)
