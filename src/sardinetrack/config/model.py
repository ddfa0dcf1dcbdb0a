"""Validated models of the settings files."""

from __future__ import annotations

from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

from sardinetrack.config.address import HttpUrl, IpNumber
from sardinetrack.config.secret import Secret

_LAST_PORT: Final = 65_535
_LONGEST_SECONDS: Final = 3_600
_LONGEST_BALANCER_SECONDS: Final = 60
_MOST_SHARDS: Final = 4096
_LONGEST_KEEP_SECONDS: Final = 2_592_000

Port = Annotated[int, Field(ge=0, le=_LAST_PORT)]
Seconds = Annotated[float, Field(gt=0, le=_LONGEST_SECONDS)]
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class _Strict(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Listen(_Strict):
    """An address to listen at."""

    ip: IpNumber = '127.0.0.1'
    port: Port = 0


class PlatformSettings(_Strict):
    """Where the platform is and how long to wait for it."""

    url: HttpUrl
    token: Secret
    call_timeout_seconds: Seconds = 2.0
    watch_seconds: Seconds = 2.0
    """Longest wait of one watch.

    One whose connection was cut without a word is noticed when it should have
    been answered, which is part of the time until a change is in force.
    """
    list_seconds: Seconds = 1.0


class Bounds(_Strict):
    """Bounds on what one caller may make an entry hold."""

    max_body_bytes: Annotated[int, Field(gt=0)] = 4_000_000
    body_seconds: Seconds = 15.0
    max_connections: Annotated[int, Field(gt=0)] = 2000
    keep_alive_seconds: Seconds = 15.0
    send_seconds: Seconds = 20.0
    wait_seconds: Seconds = 60.0


class OnceSettings(_Strict):
    """How the claims of idempotency keys are kept in the platform."""

    shards: Annotated[int, Field(ge=1, le=_MOST_SHARDS)] = 4
    """Taken by the first entry ever; all others follow it."""
    keep_seconds: Annotated[float, Field(gt=0, le=_LONGEST_KEEP_SECONDS)] = (
        86_400
    )
    """How long a record outlives the longest run of its request."""


class CommonSettings(_Strict):
    """What entry and side settings share."""

    instance: Name
    failure_domain: Name
    region: Name = 'local'
    peer: Listen = Listen()
    operator: Listen = Listen()
    platform: PlatformSettings
    peer_secret: Secret
    drain_seconds: Seconds = 30.0


class EntrySettings(CommonSettings):
    """Settings of ``sardinetrack entry``."""

    role: Literal['entry'] = 'entry'
    callers: Listen = Listen()
    bounds: Bounds = Bounds()
    once: OnceSettings = OnceSettings()
    balancer_seconds: Annotated[
        float,
        Field(ge=0, le=_LONGEST_BALANCER_SECONDS),
    ] = 2.0
    """How long the balancer may send callers to an instance not ready."""


class SideSettings(CommonSettings):
    """Settings of ``sardinetrack side``."""

    role: Literal['side'] = 'side'
    pool: Name
    backend_server: Name
    backend_url: HttpUrl
    lease_seconds: Seconds = 10.0


class OperatorSettings(_Strict):
    """Settings of ``sardinetrack catalogue``."""

    role: Literal['operator'] = 'operator'
    platform: PlatformSettings
    peer_secret: Secret
    """Instances are asked at their peer endpoints what is in force."""
