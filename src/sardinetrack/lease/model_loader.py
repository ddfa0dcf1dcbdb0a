"""Commands a backend server to load the models of its pool."""

from __future__ import annotations

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, auto
from typing import Final

import anyio

from sardinetrack.catalogue.api import Pool, PoolClass
from sardinetrack.lease.manager import LeaseManager
from sardinetrack.store.api import PlatformError
from sardinetrack.store.backoff import Backoff

_LOG: Final = logging.getLogger('sardinetrack.lease')
_POLL_INTERVAL_SECONDS: Final = 1.0


class LoadResult(Enum):
    """Result of a load command."""

    ACCEPTED = auto()
    OLD_NUMBER = auto()
    """The backend server has received a newer fencing token."""
    UNKNOWN = auto()
    """No response, or an error; the command may have been executed."""


class ModelServer(ABC):
    """Interface of a backend server that loads models on command."""

    name: str

    @abstractmethod
    async def models(self) -> frozenset[str] | None:
        """Return the loaded models; ``None`` when they can't be read."""

    @abstractmethod
    async def load_models(
        self,
        fencing_token: int,
        models: tuple[str, ...],
    ) -> LoadResult:
        """Send a command to load models; loaded ones stay loaded."""


class ModelLoader:
    """A task that loads missing models, with one command for each change.

    Requests need no lease: they continue whatever happens here.
    """

    def __init__(
        self,
        server: ModelServer,
        lease_manager: LeaseManager,
        pool: Callable[[], Pool | None],
        rng: random.Random,
    ) -> None:
        """Create the task.

        :param server: the backend server.
        :param lease_manager: acquires the lease on the server.
        :param pool: returns the current pool, ``None`` when it is unknown.
        :param rng: random number generator for the backoff after errors.
        """
        self._server = server
        self._lease_manager = lease_manager
        self._pool = pool
        self._backoff = Backoff(rng)
        self._accepted_models: tuple[str, ...] = ()
        """Models of an accepted command that are not reported as loaded yet."""

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            wait_seconds = _POLL_INTERVAL_SECONDS
            try:
                await self._poll()
            except PlatformError as error:
                wait_seconds = self._backoff.next_delay_seconds(error)
                _LOG.info('lease: no lease for a load command: %s', error)
            await anyio.sleep(wait_seconds)

    async def _poll(self) -> None:
        pool = self._pool()
        if pool is None or pool.pool_class is not PoolClass.MODEL:
            return
        missing = await self._missing(pool)
        if not missing:
            self._accepted_models = ()
        elif missing != self._accepted_models:
            await self._load(pool, missing)

    async def _missing(self, pool: Pool) -> tuple[str, ...]:
        loaded = await self._server.models()
        if loaded is None:
            return ()
        return tuple(model for model in pool.models if model not in loaded)

    async def _load(self, pool: Pool, models: tuple[str, ...]) -> None:
        checks_fencing = self._server.name in pool.checks_fencing
        await self._lease_manager.acquire(checks_fencing=checks_fencing)
        self._backoff.reset()
        # Another holder may have loaded the models during the acquisition.
        if await self._missing(pool) != models:
            return
        result = await self._send_command(models)
        _LOG.info(
            'lease: load command backend_server=%s fencing=%d models=%s '
            'result=%s',
            self._server.name,
            self._lease_manager.lease.fencing_token,
            ','.join(models),
            result.name.lower(),
        )
        if result is LoadResult.ACCEPTED:
            self._accepted_models = models
        elif result is LoadResult.OLD_NUMBER:
            self._lease_manager.lease.mark_superseded()

    async def _send_command(self, models: tuple[str, ...]) -> LoadResult:
        # The process may have been paused since the lease was acquired, and
        # the command may be slow in transit: it is cancelled when the lease
        # expires.
        lease = self._lease_manager.lease
        left_seconds = lease.seconds_left(anyio.current_time())
        if left_seconds > 0:
            with anyio.move_on_after(left_seconds):
                return await self._server.load_models(
                    lease.fencing_token, models
                )
        return LoadResult.UNKNOWN
