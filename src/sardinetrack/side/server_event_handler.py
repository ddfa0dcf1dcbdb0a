"""Handles what the backend server asks for, for the owner task."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.side.events import (
    RestRequested,
    ServerReconnected,
    ServerResponded,
)
from sardinetrack.side.owner_state import Effects, OwnerState

_LOG: Final = ComponentLogger(LogComponent.SIDE)


class ServerEventHandler:
    """Translates requests of the server into calls of the admission object."""

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        self._resting = False
        self._rest_began_at: float = 0
        self._leaving = False
        self._left_at: float = 0
        self.side_drains = False
        """The side itself drains, whatever its server does."""

    def due_at(self) -> float:
        """Time of the next ``tick`` (monotonic), infinite if none is due."""
        return (
            self._state.condition.rest.until_seconds
            if self._resting
            else math.inf
        )

    def rest_requested(self, now: float, event: RestRequested) -> Effects:
        """Begin a rest, or extend the one in force."""
        self._state.condition.rest.extend(now, event.seconds)
        if self._resting:
            return ()
        self._resting = True
        self._rest_began_at = now
        _LOG.info(
            'backend server asks for rest',
            backend_server=self._state.identity.backend_server,
            seconds=event.seconds,
            attempt_id=event.attempt_id,
        )
        self._state.metrics.record_rest(active=True)
        return self._state.admission.begin_rest(now)

    def tick(self, now: float) -> Effects:
        """End a rest that is over."""
        if not self._resting or self._state.condition.rest.is_active(now):
            return ()
        self._resting = False
        _LOG.info(
            'rest of the backend server has ended',
            backend_server=self._state.identity.backend_server,
            seconds=round(now - self._rest_began_at, 3),
        )
        self._state.metrics.record_rest(active=False)
        return self._state.admission.end_rest(now)

    def responded(self, now: float, event: ServerResponded) -> Effects:
        """Apply what a response says about the departure of the server."""
        self._state.condition.departure.responded(
            now, event.sent_at, leaving=event.leaving
        )
        return self._departure_effects(now, event.attempt_id)

    def reconnected(self, now: float, event: ServerReconnected) -> Effects:
        """Apply that another process of the server listens."""
        self._state.condition.departure.restarted(event.refused_at)
        return self._departure_effects(now, '')

    def _departure_effects(self, now: float, attempt_id: str) -> Effects:
        leaving = self._state.condition.departure.is_active
        if leaving == self._leaving:
            return ()
        self._leaving = leaving
        self._state.metrics.record_departure(active=leaving)
        if leaving:
            return self._begin_departure(now, attempt_id)
        _LOG.info(
            'backend server has restarted',
            backend_server=self._state.identity.backend_server,
            seconds=round(now - self._left_at, 3),
        )
        return () if self.side_drains else self._state.admission.end_drain(now)

    def _begin_departure(self, now: float, attempt_id: str) -> Effects:
        self._left_at = now
        _LOG.info(
            'backend server is leaving',
            backend_server=self._state.identity.backend_server,
            attempt_id=attempt_id,
        )
        return self._state.admission.drain(now)
