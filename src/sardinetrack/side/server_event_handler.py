"""Handles what the backend server asks for, for the owner task."""

from __future__ import annotations

import math
from typing import Final

from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.side.events import RestRequested
from sardinetrack.side.owner_state import Effects, OwnerState

_LOG: Final = ComponentLogger(LogComponent.SIDE)


class ServerEventHandler:
    """Translates requests of the server into calls of the admission object."""

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        self._resting = False
        self._rest_began_at: float = 0

    def due_at(self) -> float:
        """Time of the next ``tick`` (monotonic), infinite if none is due."""
        return self._state.rest.until_seconds if self._resting else math.inf

    def rest_requested(self, now: float, event: RestRequested) -> Effects:
        """Begin a rest, or extend the one in force."""
        self._state.rest.extend(now, event.seconds)
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
        if not self._resting or self._state.rest.is_active(now):
            return ()
        self._resting = False
        _LOG.info(
            'rest of the backend server has ended',
            backend_server=self._state.identity.backend_server,
            seconds=round(now - self._rest_began_at, 3),
        )
        self._state.metrics.record_rest(active=False)
        return self._state.admission.end_rest(now)
