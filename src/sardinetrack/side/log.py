"""Decision log lines of a side."""

from __future__ import annotations

from typing import Final

from sardinetrack.logs.lines import (
    ComponentLogger,
    DecisionRecord,
    LogComponent,
)
from sardinetrack.messages.run import RunRequest
from sardinetrack.side.identity import SideIdentity

_LOG: Final = ComponentLogger(LogComponent.SIDE)


class DecisionLog:
    """Writes the log lines of a side that name its backend server."""

    def __init__(self, identity: SideIdentity) -> None:
        self._identity = identity

    def record(
        self, sentence: str, run_request: RunRequest, reason: str
    ) -> None:
        """Log a decision about a run request.

        The side does not know the id of the caller's request; the entry logs it
        together with the attempt id.
        """
        _LOG.decision(
            sentence,
            DecisionRecord(
                request_id=None,
                workspace=run_request.workspace,
                pool=self._identity.pool,
                backend_server=self._identity.backend_server,
                reason=reason,
                attempt_id=run_request.attempt_id,
                suspect=run_request.suspect,
            ),
        )

    def surplus_discarded(self, origin: str) -> None:
        """Log a second response of the backend server."""
        _LOG.warning(
            'surplus response discarded',
            backend_server=self._identity.backend_server,
            origin=origin,
        )
