"""The decision lines of a side."""

from __future__ import annotations

import logging

from sardinetrack.messages.run import RunOrder
from sardinetrack.side.identity import SideIdentity

_LOG = logging.getLogger('sardinetrack.side')


class DecisionLog:
    """Writes one line for each decision."""

    def __init__(self, identity: SideIdentity) -> None:
        """Remember which backend server the lines speak of."""
        self._backend_server = identity.backend_server

    def decided(self, decision: str, order: RunOrder, reason: str) -> None:
        """Write what was decided about an order."""
        _LOG.info(
            'side: %s attempt=%s workspace=%s backend_server=%s reason=%s',
            decision,
            order.attempt_id,
            order.workspace,
            self._backend_server,
            reason,
        )

    def granted(self, entry: str, number: int) -> None:
        """Write that a slot was set aside."""
        _LOG.info(
            'side: grant number=%d entry=%s backend_server=%s',
            number,
            entry,
            self._backend_server,
        )
