"""The catalogue of the fake fleet."""

from __future__ import annotations

import json
from hashlib import sha256
from typing import Any, Final

from benchmarks.chaos.submission import MODEL, SERVICE, WORKSPACES, token_of
from sardinetrack.store.api import Platform

SLOTS: Final = 4
_UNLIMITED: Final = 100_000
_RUN_SECONDS: Final = 30.0


class Catalogue:
    """Writes catalogue objects as an operator would."""

    def __init__(self, platform: Platform) -> None:
        """Build a writer for a platform's store."""
        self._platform = platform

    async def put_all(self) -> None:
        """Write all workspaces and pools."""
        for workspace in WORKSPACES:
            await self.put_workspace(workspace, 1)
        await self.put_pools(SLOTS)

    async def put_workspace(self, name: str, weight: int) -> None:
        """Write a workspace."""
        digest = sha256(token_of(name).encode()).hexdigest()
        limits = {
            'weight': weight,
            'concurrency': _UNLIMITED,
            'rate_per_second': _UNLIMITED,
            'waiting': _UNLIMITED,
        }
        content = {'token_hashes': [digest], 'limits': limits}
        await self._put('workspace', name, content)

    async def put_pools(self, slots: int) -> None:
        """Write both pools."""
        limits = {'slots_per_server': slots, 'max_run_seconds': _RUN_SECONDS}
        model = {'class': 'model', 'models': [MODEL], 'limits': limits}
        await self._put('pool', MODEL, model)
        reads = [{'method': 'GET', 'path_prefix': '/'}]
        service = {'class': 'service', 'repeatable': reads, 'limits': limits}
        await self._put('pool', SERVICE, service)

    async def _put(self, kind: str, name: str, content: dict[str, Any]) -> None:
        entry = {'kind': kind, 'name': name, 'owner': 'chaos', **content}
        await self._platform.put(
            f'catalogue/{kind}/{name}',
            json.dumps(entry).encode(),
            expected_version=None,
        )
