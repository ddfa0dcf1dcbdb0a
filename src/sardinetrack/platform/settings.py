"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Final

import msgspec

from sardinetrack.platform.errors import SettingsFileError
from sardinetrack.relay.settings import Listen, NodeSettings

_VARIABLE: Final = 'SARDINETRACK_BOOT'
_MILLISECONDS: Final = 1000.0
_MEGABYTE: Final = 1_000_000
METRICS_PORT: Final = 9464
"""As the deploy file tells it; the platform's settings have no place for it."""


class _Addresses(msgspec.Struct, rename='camel'):
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
    # Told only where the operator evacuates zones.
    evacuate_ms: float | None = None


class _Limits(msgspec.Struct, rename='camel'):
    # Sockets, pipes and files together; some are kept for files.
    max_fds: int = 4096
    memory_mb: int = 256


class _Store(msgspec.Struct, rename='camel'):
    address: str


class _File(msgspec.Struct, rename='camel'):
    node_name: str
    ip: str
    zone: str
    # The first and the last port; others may not be used between instances.
    internal_port_range: tuple[int, int]
    platform: _Store
    machine_class: str = ''
    listen_addresses: _Addresses = msgspec.field(default_factory=_Addresses)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Find the settings file.

    :raises SettingsFileError: the platform has not named one.
    """
    name = os.environ.get(_VARIABLE)
    if not name:
        raise SettingsFileError(f'{_VARIABLE} names no settings file')
    return Path(name)


def read_settings(path: Path) -> NodeSettings:
    """Read and check the settings.

    :raises SettingsFileError: it can't be read, or something is wrong in it.
    """
    try:
        with path.open('rb') as opened:
            read = tomllib.load(opened)
        return _translate(msgspec.convert(read, _File, strict=False))
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise SettingsFileError(f'{path}: {error}') from error


def _translate(read: _File) -> NodeSettings:
    bounds = read.bounds
    revoke_seconds = bounds.revoke_ms / _MILLISECONDS
    return NodeSettings(
        instance=read.node_name,
        ip=read.ip,
        failure_domain=read.zone,
        callers=_listen(read.listen_addresses.frontend),
        ready=_listen(read.listen_addresses.ready),
        turns_port=read.internal_port_range[0],
        metrics_port=METRICS_PORT,
        store=_address(read.platform.address),
        grace_seconds=bounds.grace_s,
        revoke_seconds=revoke_seconds if bounds.fail_closed else None,
        memory_bytes=read.limits.memory_mb * _MEGABYTE,
        max_descriptors=read.limits.max_fds,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.retry_window_s,
        retry_slack=bounds.retry_slack,
        evacuates=bounds.evacuate_ms is not None,
    )


def _listen(text: str) -> Listen | None:
    return _address(text) if text else None


def _address(text: str) -> Listen:
    ip, colon, port = text.rpartition(':')
    if not colon or not port.isdigit():
        raise ValueError(f'{text!r} is not IP:PORT')
    return (ip, int(port))
