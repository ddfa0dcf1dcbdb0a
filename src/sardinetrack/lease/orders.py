"""Orders to a backend server: load the models that its pool names."""

from __future__ import annotations

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, auto
from typing import Final

import anyio

from sardinetrack.catalogue.api import Pool, PoolClass
from sardinetrack.lease.keeper import LeaseKeeper
from sardinetrack.store.api import PlatformError
from sardinetrack.store.backoff import Backoff

_LOG: Final = logging.getLogger('sardinetrack.lease')
_LOOK_SECONDS: Final = 1.0


class OrderResult(Enum):
    """What became of an order."""

    ACCEPTED = auto()
    OLD_NUMBER = auto()
    """The backend server knows a newer fencing number."""
    UNKNOWN = auto()
    """No answer, or an error; it may have been carried out."""


class OrderedServer(ABC):
    """The backend server as the giver of orders sees it."""

    name: str

    @abstractmethod
    async def models(self) -> frozenset[str] | None:
        """Tell which models are loaded; ``None`` when it doesn't say."""

    @abstractmethod
    async def load_models(
        self,
        fencing: int,
        models: tuple[str, ...],
    ) -> OrderResult:
        """Order it to load models; those loaded already stay."""


class ModelOrders:
    """A task that orders what is missing, once for each change.

    Requests need no lease: they go on whatever happens here.
    """

    def __init__(
        self,
        server: OrderedServer,
        keeper: LeaseKeeper,
        pool: Callable[[], Pool | None],
        chance: random.Random,
    ) -> None:
        """Remember the parts.

        :param pool: tells the pool in force.
        :param chance: source of the jitter after errors.
        """
        self._server = server
        self._keeper = keeper
        self._pool = pool
        self._backoff = Backoff(chance)
        self._ordered: tuple[str, ...] = ()
        """Accepted, and not seen as loaded since."""

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            wait_seconds = _LOOK_SECONDS
            try:
                await self._look()
            except PlatformError as error:
                wait_seconds = self._backoff.wait_seconds(error)
                _LOG.info('lease: no lease to order with: %s', error)
            await anyio.sleep(wait_seconds)

    async def _look(self) -> None:
        pool = self._pool()
        if pool is None or pool.pool_class is not PoolClass.MODEL:
            return
        missing = await self._missing(pool)
        if not missing:
            self._ordered = ()
        elif missing != self._ordered:
            await self._order(pool, missing)

    async def _missing(self, pool: Pool) -> tuple[str, ...]:
        loaded = await self._server.models()
        if loaded is None:
            return ()
        return tuple(model for model in pool.models if model not in loaded)

    async def _order(self, pool: Pool, models: tuple[str, ...]) -> None:
        checks_fencing = self._server.name in pool.checks_fencing
        await self._keeper.acquire(checks_fencing=checks_fencing)
        self._backoff.reset()
        # Another holder may have ordered the same while the lease was sought.
        if await self._missing(pool) != models:
            return
        result = await self._send(models)
        _LOG.info(
            'lease: order backend_server=%s fencing=%d models=%s result=%s',
            self._server.name,
            self._keeper.lease.fencing,
            ','.join(models),
            result.name.lower(),
        )
        if result is OrderResult.ACCEPTED:
            self._ordered = models
        elif result is OrderResult.OLD_NUMBER:
            self._keeper.lease.superseded()

    async def _send(self, models: tuple[str, ...]) -> OrderResult:
        # The process may have been paused since the lease was acquired, and
        # the order may be slow on its way: it is broken off with the lease.
        lease = self._keeper.lease
        left_seconds = lease.seconds_left(anyio.current_time())
        if left_seconds > 0:
            with anyio.move_on_after(left_seconds):
                return await self._server.load_models(lease.fencing, models)
        return OrderResult.UNKNOWN
