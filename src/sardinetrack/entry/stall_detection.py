"""Cancels attempts whose response can no longer arrive."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup

from sardinetrack.entry.side_directory import SideDirectory, SideEndpoint
from sardinetrack.entry.status_query import StatusQuery
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.run import AttemptStatus

_LOG: Final = ComponentLogger(LogComponent.ENTRY)
STALL_SECONDS: Final = 2.0
"""An active response delivers data more often than this."""
SIDE_RETURN_SECONDS: Final = 15.0
"""How long a response that has started waits for an unreachable side.

A request whose response has not started is better retried on another side. The
rest of a started response can only come from the side that started it, and a
side whose process or machine stalls for seconds still has it.
"""
_MAY_STILL_RESPOND: Final = frozenset((AttemptStatus.RUNNING, None))
"""Statuses that justify waiting longer; ``None``: the side did not respond."""


class StallDetector:
    """Monitors the connection of one attempt and the link of its side.

    A link and the connections of attempts to the same side break together or
    separately. A connection that is lost without a reset (a flow dropped by a
    middlebox, a connection accepted by the kernel but not by the process) stays
    open and silent: its caller would wait for the maximum run time of the pool.
    """

    def __init__(
        self,
        sides: SideDirectory,
        side: SideEndpoint,
        attempt_id: str,
        silent_seconds: Callable[[], float],
        response_started: Callable[[], bool],
    ) -> None:
        """Set the attempt to monitor.

        :param sides: reports the state of the side's link.
        :param side: the side that runs the attempt.
        :param attempt_id: the attempt.
        :param silent_seconds: returns the time since data last arrived.
        :param response_started: returns whether the response has started.
        """
        self._sides = sides
        self._side = side
        self._query = StatusQuery(sides, side)
        self._attempt_id = attempt_id
        self._silent_seconds = silent_seconds
        self._response_started = response_started

    def start(self, tasks: TaskGroup) -> None:
        """Start monitoring; cancel the group when no response can arrive.

        The monitoring tasks belong to the group itself. Anything that ends only
        after the response would delay recording the end of the attempt, which a
        resend of the request depends on.
        """
        scope = tasks.cancel_scope
        tasks.start_soon(self._until_side_lost, scope)
        tasks.start_soon(self._until_connection_lost, scope)

    async def _until_side_lost(self, scope: anyio.CancelScope) -> None:
        await self._sides.wait_lost(self._side)
        # The link may break alone while the response still arrives.
        while self._silent_seconds() < self._max_silence_seconds():
            await anyio.sleep(STALL_SECONDS / 2)
            await self._sides.wait_lost(self._side)
        self._cancel(scope, 'side became unreachable during an attempt')

    def _max_silence_seconds(self) -> float:
        successor = self._sides.find(self._side.name)
        if not self._response_started() or successor not in {None, self._side}:
            return STALL_SECONDS
        return SIDE_RETURN_SECONDS

    async def _until_connection_lost(self, scope: anyio.CancelScope) -> None:
        await self._sides.wait_link_broken(self._side)
        while True:
            await anyio.sleep(STALL_SECONDS)
            if await self._ended_without_response():
                break
        self._cancel(scope, 'connection stalled during an attempt')

    async def _ended_without_response(self) -> bool:
        """Return whether the attempt ended and its response never arrived."""
        if self._silent_seconds() < STALL_SECONDS:
            return False
        status = await self._query.query_once(self._attempt_id, cancel=False)
        if status in _MAY_STILL_RESPOND:
            return False
        # Data that the side has just sent may still be in flight.
        await anyio.sleep(STALL_SECONDS)
        return self._silent_seconds() >= STALL_SECONDS

    def _cancel(self, scope: anyio.CancelScope, cause: str) -> None:
        _LOG.warning(
            cause,
            attempt_id=self._attempt_id,
            side=self._side.name,
            silent_seconds=round(self._silent_seconds(), 1),
            begun=self._response_started(),
        )
        scope.cancel()
