"""Build the client of the platform's store."""

from __future__ import annotations

from sardinetrack.config.model import PlatformSettings
from sardinetrack.config.secret import resolve_secret
from sardinetrack.http.client import HttpClient
from sardinetrack.store.http import HttpPlatform


def platform_client(
    client: HttpClient,
    settings: PlatformSettings,
) -> HttpPlatform:
    """Build the client of the platform's store from settings."""
    return HttpPlatform(
        client,
        settings.url,
        resolve_secret(settings.token),
        call_timeout_seconds=settings.call_timeout_seconds,
    )
