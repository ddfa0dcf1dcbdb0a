"""The one line of JSON that a process prints when it serves."""

from __future__ import annotations

import sys

import msgspec


class EntryReady(msgspec.Struct, frozen=True):
    """Where an entry listens."""

    instance: str
    callers_url: str
    peer_address: str
    operator_url: str


class SideReady(msgspec.Struct, frozen=True):
    """Where a side listens."""

    instance: str
    pool: str
    backend_server: str
    peer_address: str
    operator_url: str


class LocalReady(msgspec.Struct, frozen=True):
    """What a caller of ``sardinetrack local`` needs to know."""

    entry_url: str
    token: str
    model: str
    service: str
    metrics_url: str


def print_ready(ready: EntryReady | SideReady | LocalReady) -> None:
    """Write the line on standard output; nothing else goes there."""
    line = msgspec.json.encode(ready).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
