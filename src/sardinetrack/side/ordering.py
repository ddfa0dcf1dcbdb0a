"""Put the task together that gives orders to the backend server."""

from __future__ import annotations

import random
from typing import Final

from sardinetrack.http.client import HttpClient
from sardinetrack.lease.decision import Lease
from sardinetrack.lease.keeper import LeaseKeeper
from sardinetrack.lease.orders import ModelOrders
from sardinetrack.lease.record import lease_key
from sardinetrack.side.ordered_server import HttpOrderedServer
from sardinetrack.side.parts import SideParts
from sardinetrack.store.api import Platform

_MARGIN_PART: Final = 0.2
"""Part of a lease that its holder leaves unused."""


def model_orders(
    parts: SideParts,
    platform: Platform,
    client: HttpClient,
) -> ModelOrders:
    """Build the task.

    :param platform: holds the lease.
    :param client: for calls on the backend server.
    """
    settings = parts.settings
    lease = Lease(
        f'{settings.instance}.{parts.incarnation}',
        duration_seconds=settings.lease_seconds,
        margin_seconds=settings.lease_seconds * _MARGIN_PART,
    )
    key = lease_key(settings.pool, settings.backend_server)
    return ModelOrders(
        HttpOrderedServer(
            settings.backend_server,
            str(settings.backend_url),
            client,
        ),
        LeaseKeeper(platform, key, lease),
        parts.configuration.pool,
        random.Random(),
    )
