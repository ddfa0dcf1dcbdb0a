"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Final

import msgspec

from sardinetrack.platform.addresses import MAX_PORT, parse_endpoint
from sardinetrack.platform.errors import SettingsFileError
from sardinetrack.relay.settings import InstanceSettings, SocketAddress

_VARIABLE: Final = 'SARDINETRACK_BOOT'
_MILLISECONDS: Final = 1000.0
_MEGABYTE: Final = 1_000_000
METRICS_PORT: Final = 9464
"""As in the deploy file; the platform's settings have no field for it."""


class _ListenAddresses(msgspec.Struct, rename='camel'):
    frontend: str = ''
    ready: str = ''


class _Bounds(msgspec.Struct, rename='camel'):
    drain_ms: float = 2000
    grace_s: float = 8
    fail_closed: bool = True
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    # Present only where the operator evacuates zones.
    evacuate_ms: float | None = None


class _Limits(msgspec.Struct, rename='camel'):
    # Sockets, pipes and files together; some are reserved for files.
    max_fds: int = 4096
    memory_mb: int = 256


class _Store(msgspec.Struct, rename='camel'):
    address: str


class _SettingsFile(msgspec.Struct, rename='camel'):
    node_name: str
    ip: str
    zone: str
    # First and last port; instances may use no others between each other.
    internal_port_range: tuple[int, int]
    platform: _Store
    machine_class: str = ''
    # Address of the model engine on this machine; empty if there is none.
    app: str = ''
    listen_addresses: _ListenAddresses = msgspec.field(
        default_factory=_ListenAddresses
    )
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingsFileError: the environment variable does not name one.
    """
    name = os.environ.get(_VARIABLE)
    if not name:
        raise SettingsFileError(f'{_VARIABLE} does not name a settings file')
    return Path(name)


def read_settings(
    path: Path, *, serves_callers: bool = False
) -> InstanceSettings:
    """Read and validate the settings.

    :param serves_callers: the addresses for callers are required.
    :raises SettingsFileError: the file can't be read or is invalid.
    """
    try:
        with path.open('rb') as settings_file:
            decoded = tomllib.load(settings_file)
        converted = msgspec.convert(decoded, _SettingsFile, strict=False)
        return _translate(converted, serves_callers=serves_callers)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise SettingsFileError(f'{path}: {error}') from error


def _translate(
    decoded: _SettingsFile, *, serves_callers: bool
) -> InstanceSettings:
    bounds = decoded.bounds
    listen = decoded.listen_addresses
    if serves_callers and not (listen.frontend and listen.ready):
        raise ValueError('listenAddresses: frontend and ready are required')
    first_port = decoded.internal_port_range[0]
    if not 0 < first_port <= MAX_PORT:
        raise ValueError(f'internalPortRange: {first_port} is not a port')
    revoke_seconds = bounds.revoke_ms / _MILLISECONDS
    return InstanceSettings(
        instance=decoded.node_name,
        ip=decoded.ip,
        failure_domain=decoded.zone,
        callers=_optional_address(listen.frontend),
        ready=_optional_address(listen.ready),
        turns_port=first_port,
        metrics_port=METRICS_PORT,
        store=parse_endpoint(decoded.platform.address),
        grace_seconds=bounds.grace_s,
        drain_seconds=bounds.drain_ms / _MILLISECONDS,
        revoke_seconds=revoke_seconds if bounds.fail_closed else None,
        memory_bytes=decoded.limits.memory_mb * _MEGABYTE,
        max_descriptors=decoded.limits.max_fds,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.retry_window_s,
        retry_slack=bounds.retry_slack,
        evacuates=bounds.evacuate_ms is not None,
        engine=_engine_address(decoded.app),
    )


def _engine_address(text: str) -> SocketAddress | None:
    if not text:
        return None
    try:
        return parse_endpoint(text)
    except ValueError as error:
        raise ValueError(f'app: {error}') from error


def _optional_address(text: str) -> SocketAddress | None:
    return parse_endpoint(text) if text else None
