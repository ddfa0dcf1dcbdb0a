"""Wire the platform's client."""

from __future__ import annotations

from sardinetrack.config.model import PlatformSettings
from sardinetrack.config.secret import resolve_secret
from sardinetrack.http.client import HttpClient
from sardinetrack.store.http import HttpPlatform


def platform_of(client: HttpClient, settings: PlatformSettings) -> HttpPlatform:
    """Build the platform's client from settings."""
    return HttpPlatform(
        client,
        settings.url,
        resolve_secret(settings.token),
        call_timeout_seconds=settings.call_timeout_seconds,
    )
