"""Serve the platform's stand-in as a separate process."""

from __future__ import annotations

import anyio
from pydantic import BaseModel, ConfigDict

from sardinetrack.config.address import IpNumber
from sardinetrack.config.model import Port
from sardinetrack.config.secret import Secret, resolve_secret
from sardinetrack.http.server import serve
from sardinetrack.standin.hosting import print_url
from sardinetrack.standin.platform import PlatformStandin


class PlatformStandinSettings(BaseModel):
    """Settings of the platform's stand-in."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    ip: IpNumber = '127.0.0.1'
    port: Port = 0
    token: Secret = Secret.model_validate({'value': 'standin-token'})


async def run_platform(settings: PlatformStandinSettings) -> None:
    """Serve an empty platform until cancelled."""
    standin = PlatformStandin(resolve_secret(settings.token))
    async with serve(standin, settings.ip, settings.port) as server:
        print_url(server.url)
        await anyio.sleep_forever()
