"""The task that watches the backend server and sizes the side's slots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from sardinetrack.catalogue.api import Pool, PoolClass
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.side.backend import (
    BackendServer,
    SilentError,
    UnreachableError,
)
from sardinetrack.side.concurrency import ConcurrencyLimit
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.events import Resized, SideEvents
from sardinetrack.side.load_report import LoadReport

_LOG: Final = PartLogger(Part.SIDE)
_POLL_SECONDS: Final = 1.0
_RETRY_SECONDS: Final = 0.25
_SILENT_SECONDS: Final = 3.0
_NO_SLOTS: Final = 0


@dataclass(frozen=True, slots=True)
class ProbeNow:
    """Something happened: look at the backend server at once."""


def ask_probe(probe: MemoryObjectSendStream[ProbeNow]) -> None:
    """Wake the watch; one pending wake-up is as good as many."""
    try:
        probe.send_nowait(ProbeNow())
    except (anyio.WouldBlock, anyio.BrokenResourceError):
        return


class BackendWatch:
    """Offers no slots while the backend server can't be reached or is hung.

    Without this a side whose server is gone refuses faster than any other
    side answers, and so attracts all the work there is; one whose server is
    frozen swallows it.
    """

    def __init__(
        self,
        backend: BackendServer,
        configuration: SideConfiguration,
        concurrency: ConcurrencyLimit,
        owner: SideEvents,
        probes: MemoryObjectReceiveStream[ProbeNow],
    ) -> None:
        """Prepare the task."""
        self._backend = backend
        self._configuration = configuration
        self._concurrency = concurrency
        self._owner = owner
        self._probes = probes
        self._limit = _NO_SLOTS
        self._woken = False
        self._answered_at = anyio.current_time()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            pool = self._configuration.pool()
            if pool is not None:
                await self._resize(await self._look(pool))
            await self._pause()

    async def _look(self, pool: Pool) -> int:
        report: LoadReport | None = None
        try:
            report = await self._probe(pool)
        except UnreachableError:
            return _NO_SLOTS
        except SilentError:
            if self._silent_for_long():
                return _NO_SLOTS
        else:
            self._answered_at = anyio.current_time()
        return self._concurrency.limit(anyio.current_time(), pool, report)

    async def _probe(self, pool: Pool) -> LoadReport | None:
        if pool.pool_class is PoolClass.MODEL:
            return await self._backend.load()
        # Plain services have nothing that is safe to call: a connection must
        # do, and only when there is a doubt.
        if self._woken or self._limit == _NO_SLOTS:
            await self._backend.connect()
        return None

    def _silent_for_long(self) -> bool:
        silent_seconds = anyio.current_time() - self._answered_at
        return silent_seconds > _SILENT_SECONDS or self._limit == _NO_SLOTS

    async def _resize(self, limit: int) -> None:
        if limit == self._limit:
            return
        _LOG.info(
            'slots changed',
            backend_server=self._backend.name,
            limit=limit,
            was=self._limit,
        )
        self._limit = limit
        await self._owner.send(Resized(limit))

    async def _pause(self) -> None:
        self._woken = False
        seconds = _POLL_SECONDS if self._limit else _RETRY_SECONDS
        with anyio.move_on_after(seconds):
            await self._probes.receive()
            self._woken = True
