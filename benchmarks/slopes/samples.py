"""Names and messages of the sizes that are measured."""

from __future__ import annotations

import hashlib
import json
from typing import Final

from sardinetrack.catalogue.api import (
    Pool,
    PoolClass,
    ServiceClass,
    Workspace,
    WorkspaceLimits,
)
from sardinetrack.catalogue.coverage import complete_update
from sardinetrack.messages.api import (
    BidRow,
    Bids,
    ConfigObject,
    ConfigUpdate,
    ServiceReport,
    ServiceRow,
    SideLoad,
    SidePhase,
)
from sardinetrack.routing.api import RoutedRequest, SideInfo
from sardinetrack.store.api import InstanceState, ListedInstance

POOL: Final = 'model-0'
INCARNATION: Final = 'a1b2c3d4e5f60718'
UNLIMITED: Final = 1_000_000


def workspace_name(number: int) -> str:
    """Return a workspace name of realistic length."""
    digits = str(number).zfill(5)
    return f'workspace-{digits}'


def workspaces(count: int) -> list[Workspace]:
    """Return workspaces without effective limits."""
    limits = WorkspaceLimits(1.0, UNLIMITED, UNLIMITED, UNLIMITED)
    return [
        Workspace(
            workspace_name(number),
            'owner',
            ServiceClass.STANDARD,
            limits,
            frozenset(),
        )
        for number in range(count)
    ]


def pool() -> Pool:
    """Return the pool."""
    return Pool(
        POOL,
        'owner',
        PoolClass.MODEL,
        8,
        UNLIMITED,
        60.0,
        ('model',),
        (),
        frozenset(),
        0.1,
    )


def work(number: int, workspace: int) -> RoutedRequest:
    """Return one request."""
    return RoutedRequest(
        f'request-{number}',
        workspace_name(workspace),
        POOL,
        450.0,
        UNLIMITED,
        idempotent=True,
        fingerprint=format(number, '064x'),
    )


def side_info(number: int) -> SideInfo:
    """Return one side."""
    return SideInfo(
        f'side-{number}',
        POOL,
        f'engine-{number}',
        'hall',
        f'10.0.0.1:{number}',
    )


def load(free: int) -> SideLoad:
    """Return the load report of a side."""
    return SideLoad(INCARNATION, SidePhase.SERVING, 40, 40 - free, free, 1.5)


def bids(rows: int, first: int = 0) -> Bids:
    """Return bids for a number of workspaces."""
    return Bids(
        POOL,
        17,
        tuple(
            BidRow(workspace_name(first + number), 1234.5 + number, 3, 450.25)
            for number in range(rows)
        ),
    )


def report(rows: int, entry: str = 'entry-0') -> ServiceReport:
    """Return a service report of a number of workspaces."""
    return ServiceReport(
        entry,
        INCARNATION,
        POOL,
        tuple(
            ServiceRow(
                workspace_name(number),
                1234.5 + number,
                3,
                2,
                4321.75 + number,
                900.25,
            )
            for number in range(rows)
        ),
    )


def config_object(number: int, version: int) -> ConfigObject:
    """Return a workspace's object as the platform stores it."""
    name = workspace_name(number)
    content = {
        'kind': 'workspace',
        'name': name,
        'owner': 'desk@varna.example',
        'class': 'standard',
        'limits': {'weight': 1.5, 'concurrency': 12},
        'token_hashes': [hashlib.sha256(name.encode()).hexdigest()],
    }
    key = f'catalogue/workspace/{name}'
    return ConfigObject(key, version, json.dumps(content), deleted=False)


def snapshot(count: int) -> ConfigUpdate:
    """Return an update with the complete catalogue."""
    objects = [config_object(number, number + 1) for number in range(count)]
    return complete_update(0, count, objects)


def change(count: int, number: int = 0) -> ConfigUpdate:
    """Return one change after a snapshot, or a later one by its number."""
    revision = count + 1 + number
    changed = config_object(number % count, revision)
    return complete_update(revision - 1, revision, [changed])


def instances(count: int) -> tuple[ListedInstance, ...]:
    """Return the instance list as the platform returns it."""
    return tuple(
        ListedInstance(
            instance=f'side-model-0-{number}',
            role='side',
            address=f'10.20.30.40:{number}',
            failure_domain='hall-borongaj',
            pool=POOL,
            backend_server=f'engine-{number}',
            state=InstanceState.LIVE,
        )
        for number in range(count)
    )
