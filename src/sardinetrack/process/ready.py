"""The line of JSON that a process prints when it accepts requests."""

from __future__ import annotations

import sys

import msgspec


class EntryReady(msgspec.Struct, frozen=True):
    """Addresses of an entry."""

    instance: str
    callers_url: str
    peer_address: str
    operator_url: str


class SideReady(msgspec.Struct, frozen=True):
    """Addresses of a side."""

    instance: str
    pool: str
    backend_server: str
    peer_address: str
    operator_url: str


class LocalReady(msgspec.Struct, frozen=True):
    """What a user of ``sardinetrack local`` needs to send requests."""

    entry_url: str
    token: str
    model: str
    service: str
    metrics_url: str


def print_ready(ready: EntryReady | SideReady | LocalReady) -> None:
    """Write the line to standard output; nothing else is written there."""
    line = msgspec.json.encode(ready).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
