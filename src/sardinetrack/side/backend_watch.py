"""The task that polls the backend server and sets the side's slot limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from sardinetrack.admission.server_condition import ServerCondition
from sardinetrack.catalogue.api import Pool, PoolClass
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.side.backend import (
    BackendServer,
    RefusedConnectionError,
    UnreachableError,
    UnresponsiveError,
)
from sardinetrack.side.concurrency import ConcurrencyLimit
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.events import (
    LimitChanged,
    ServerReconnected,
    SideEvents,
)
from sardinetrack.side.load_report import LoadReport

_LOG: Final = ComponentLogger(LogComponent.SIDE)
_POLL_INTERVAL_SECONDS: Final = 1.0
_RETRY_INTERVAL_SECONDS: Final = 0.25
_UNRESPONSIVE_SECONDS: Final = 3.0
_NO_SLOTS: Final = 0


@dataclass(frozen=True, slots=True)
class ProbeNow:
    """Wakes the task, so that it probes the backend server immediately."""


def request_probe(probe: MemoryObjectSendStream[ProbeNow]) -> None:
    """Wake the task; further requests are dropped while one is pending."""
    try:
        probe.send_nowait(ProbeNow())
    except (anyio.WouldBlock, anyio.BrokenResourceError):
        return


class BackendWatch:
    """Offers no slots while the backend server is unreachable or hung.

    A side whose server is unreachable refuses faster than other sides respond,
    and would so attract all the load. A side whose server is frozen would
    accept requests that never end.
    """

    def __init__(
        self,
        backend: BackendServer,
        configuration: SideConfiguration,
        concurrency: ConcurrencyLimit,
        owner: SideEvents,
        probes: MemoryObjectReceiveStream[ProbeNow],
        condition: ServerCondition,
    ) -> None:
        """Create the task; it offers no slots before its first poll.

        :param backend: the server to poll.
        :param configuration: source of the side's pool.
        :param concurrency: chooses the limit while the server responds.
        :param owner: stream of events to the owner task.
        :param probes: wake-ups, see ``request_probe``.
        :param condition: whether the server is leaving.
        """
        self._backend = backend
        self._configuration = configuration
        self._concurrency = concurrency
        self._owner = owner
        self._probes = probes
        self._limit = _NO_SLOTS
        self._probe_requested = False
        self._last_response_at = anyio.current_time()
        self._condition = condition
        self._refused_at: float | None = None

    async def run(self) -> None:
        """Poll the server until cancelled."""
        while True:
            pool = self._configuration.pool()
            if pool is not None:
                await self._resize(await self._poll_limit(pool))
            await self._wait_for_next_poll()

    async def _poll_limit(self, pool: Pool) -> int:
        report: LoadReport | None = None
        try:
            report = await self._probe(pool)
        except UnreachableError:
            return _NO_SLOTS
        except UnresponsiveError:
            if self._is_unresponsive():
                return _NO_SLOTS
        else:
            self._last_response_at = anyio.current_time()
        return self._concurrency.limit(anyio.current_time(), pool, report)

    async def _probe(self, pool: Pool) -> LoadReport | None:
        if pool.pool_class is PoolClass.MODEL:
            return await self._backend.load()
        # Plain services have no endpoint that is safe to call: opening a
        # connection must suffice, and only when there is a reason to doubt.
        if self._probe_requested or self._polls_often():
            await self._connect()
        return None

    async def _connect(self) -> None:
        began_at = anyio.current_time()
        try:
            await self._backend.connect()
        except RefusedConnectionError:
            self._refused_at = began_at
            raise
        if self._refused_at is not None:
            await self._owner.send(ServerReconnected(self._refused_at))
            self._refused_at = None

    def _polls_often(self) -> bool:
        return self._limit == _NO_SLOTS or self._condition.departure.is_active

    def _is_unresponsive(self) -> bool:
        silent_seconds = anyio.current_time() - self._last_response_at
        return (
            silent_seconds > _UNRESPONSIVE_SECONDS or self._limit == _NO_SLOTS
        )

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
        await self._owner.send(LimitChanged(limit))

    async def _wait_for_next_poll(self) -> None:
        self._probe_requested = False
        seconds = (
            _RETRY_INTERVAL_SECONDS
            if self._polls_often()
            else _POLL_INTERVAL_SECONDS
        )
        with anyio.move_on_after(seconds):
            await self._probes.receive()
            self._probe_requested = True
