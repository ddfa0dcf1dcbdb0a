"""Validated models of the settings files."""

from __future__ import annotations

from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field

from sardinetrack.config.address import HttpUrl, IpNumber
from sardinetrack.config.secret import Secret

_MAX_PORT: Final = 65_535
_MAX_SECONDS: Final = 3_600
_MAX_BALANCER_SECONDS: Final = 60
_MAX_SHARDS: Final = 4096
_MAX_KEEP_SECONDS: Final = 2_592_000

Port = Annotated[int, Field(ge=0, le=_MAX_PORT)]
Seconds = Annotated[float, Field(gt=0, le=_MAX_SECONDS)]
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ListenAddress(_StrictModel):
    """An address to listen on."""

    ip: IpNumber = '127.0.0.1'
    port: Port = 0


class PlatformSettings(_StrictModel):
    """Address of the platform, and timeouts of the calls on it."""

    url: HttpUrl
    token: Secret
    call_timeout_seconds: Seconds = 2.0
    watch_seconds: Seconds = 2.0
    """Maximum wait of one watch.

    A watch whose connection was interrupted without notice is detected when its
    response is due, which is part of the time until a change is active.
    """
    list_seconds: Seconds = 1.0


class RequestLimits(_StrictModel):
    """Limits on the resources that one caller may occupy at an entry."""

    max_body_bytes: Annotated[int, Field(gt=0)] = 4_000_000
    body_seconds: Seconds = 15.0
    max_connections: Annotated[int, Field(gt=0)] = 2000
    keep_alive_seconds: Seconds = 15.0
    send_seconds: Seconds = 20.0
    wait_seconds: Seconds = 60.0


class IdempotencySettings(_StrictModel):
    """How the claims of idempotency keys are stored in the platform."""

    shards: Annotated[int, Field(ge=1, le=_MAX_SHARDS)] = 4
    """Set by the first entry that ever starts; all later ones use its value."""
    keep_seconds: Annotated[float, Field(gt=0, le=_MAX_KEEP_SECONDS)] = 86_400
    """How long a record is kept beyond the longest run of its request."""


class CommonSettings(_StrictModel):
    """Settings common to entries and sides."""

    instance: Name
    failure_domain: Name
    region: Name = 'local'
    peer: ListenAddress = ListenAddress()
    operator: ListenAddress = ListenAddress()
    platform: PlatformSettings
    peer_secret: Secret
    drain_seconds: Seconds = 30.0


class EntrySettings(CommonSettings):
    """Settings of ``sardinetrack entry``."""

    role: Literal['entry'] = 'entry'
    callers: ListenAddress = ListenAddress()
    bounds: RequestLimits = RequestLimits()
    once: IdempotencySettings = IdempotencySettings()
    balancer_seconds: Annotated[
        float,
        Field(ge=0, le=_MAX_BALANCER_SECONDS),
    ] = 2.0
    """How long the load balancer may send callers to an instance not ready."""


class SideSettings(CommonSettings):
    """Settings of ``sardinetrack side``."""

    role: Literal['side'] = 'side'
    pool: Name
    backend_server: Name
    backend_url: HttpUrl
    lease_seconds: Seconds = 10.0


class OperatorSettings(_StrictModel):
    """Settings of ``sardinetrack catalogue``."""

    role: Literal['operator'] = 'operator'
    platform: PlatformSettings
    peer_secret: Secret
    """For querying at the peer endpoints of instances what is active."""
