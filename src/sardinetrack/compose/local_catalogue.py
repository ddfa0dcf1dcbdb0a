"""The catalogue of ``sardinetrack local``."""

from __future__ import annotations

import json
from hashlib import sha256
from types import MappingProxyType
from typing import Any, Final

from sardinetrack.catalogue.api import CATALOGUE_PREFIX, CatalogueKind
from sardinetrack.store.api import Platform

MODEL: Final = 'local-model'
MODEL_POOL: Final = 'local-models'
SERVICE_POOL: Final = 'local-service'
_WORKSPACE: Final = 'local'
_LIMITS: Final = MappingProxyType(
    {'concurrency': 64, 'rate_per_second': 1000, 'waiting': 1000},
)
"""High enough to try any load tool on this fleet, which no other workspace
shares; the default limits of a class would refuse 300 calls over 60
connections."""


async def write_catalogue(platform: Platform, token: str) -> None:
    """Write a workspace, a model pool and a plain service.

    :param platform: a platform whose store is empty.
    :param token: the bearer token of the workspace's caller.
    """
    digest = sha256(token.encode()).hexdigest()
    workspace = {
        'class': 'interactive',
        'token_hashes': [digest],
        'limits': dict(_LIMITS),
    }
    await _put(platform, CatalogueKind.WORKSPACE, _WORKSPACE, workspace)
    models = {'class': 'model', 'models': [MODEL]}
    await _put(platform, CatalogueKind.POOL, MODEL_POOL, models)
    repeatable = {'method': 'GET', 'path_prefix': '/'}
    service = {'class': 'service', 'repeatable': [repeatable]}
    await _put(platform, CatalogueKind.POOL, SERVICE_POOL, service)


async def _put(
    platform: Platform,
    kind: CatalogueKind,
    name: str,
    content: dict[str, Any],
) -> None:
    entry = {'kind': kind, 'name': name, 'owner': 'local', **content}
    key = f'{CATALOGUE_PREFIX}{kind}/{name}'
    await platform.put(key, json.dumps(entry).encode(), expected_version=0)
