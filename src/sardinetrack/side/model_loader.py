"""Builds the task that sends load commands to the backend server."""

from __future__ import annotations

import random
from typing import Final

from sardinetrack.admission.server_condition import ServerCondition
from sardinetrack.http.client import HttpClient
from sardinetrack.lease.decision import Lease
from sardinetrack.lease.manager import LeaseManager
from sardinetrack.lease.model_loader import ModelLoader
from sardinetrack.lease.record import lease_key
from sardinetrack.side.dependencies import SideDependencies
from sardinetrack.side.model_server import HttpModelServer
from sardinetrack.side.response_observer import ResponseObserver
from sardinetrack.store.api import Platform

_MARGIN_FRACTION: Final = 0.2
"""Fraction of a lease that its holder leaves unused."""


def build_model_loader(
    dependencies: SideDependencies,
    platform: Platform,
    client: HttpClient,
    observer: ResponseObserver,
    condition: ServerCondition,
) -> ModelLoader:
    """Build the task.

    :param dependencies: settings and configuration of the side.
    :param platform: stores the lease.
    :param client: for calls to the backend server.
    :param observer: receives the heads of the server's responses.
    :param condition: whether the server may be sent load commands.
    """
    settings = dependencies.settings
    lease = Lease(
        f'{settings.instance}.{dependencies.incarnation}',
        duration_seconds=settings.lease_seconds,
        margin_seconds=settings.lease_seconds * _MARGIN_FRACTION,
    )
    key = lease_key(settings.pool, settings.backend_server)
    return ModelLoader(
        HttpModelServer(
            settings.backend_server,
            str(settings.backend_url),
            client,
            observer,
            condition,
        ),
        LeaseManager(platform, key, lease),
        dependencies.configuration.pool,
        random.Random(),
    )
