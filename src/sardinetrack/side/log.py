"""The decision lines of a side."""

from __future__ import annotations

from typing import Final

from sardinetrack.logs.lines import DecisionRecord, Part, PartLogger
from sardinetrack.messages.run import RunOrder
from sardinetrack.side.identity import SideIdentity

_LOG: Final = PartLogger(Part.SIDE)


class DecisionLog:
    """Writes one line for each decision."""

    def __init__(self, identity: SideIdentity) -> None:
        """Remember which backend server the lines speak of."""
        self._identity = identity

    def decided(self, sentence: str, order: RunOrder, reason: str) -> None:
        """Write what was decided about an order.

        The side does not know the caller's request; the entry's lines name
        request and attempt together.
        """
        _LOG.decision(
            sentence,
            DecisionRecord(
                request_id=None,
                workspace=order.workspace,
                pool=self._identity.pool,
                backend_server=self._identity.backend_server,
                reason=reason,
                attempt_id=order.attempt_id,
                suspect=order.suspect,
            ),
        )
