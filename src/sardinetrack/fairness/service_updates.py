"""Service updates that an entry sends to a side with a permit request."""

from __future__ import annotations

from typing import Final

from sardinetrack.fairness.decaying_service import DecayingService

MAX_REPORTED_WORKSPACES: Final = 8
"""Workspaces reported with a permit request; some 200 bytes.

A side gets the service of a workspace from entries that request permits for it
there. When its callers come through many entries to many engines, each entry
does so less often than service decays, and the side underestimates the service
received. Of two workspaces that each request all that forty engines can
prefill, the one behind twenty entries received 1.8 times what the one behind a
single entry received; with 8 reported, 1.2 times (tests/admission/spread.py).
"""


class ServiceUpdates:
    """Workspaces served by an entry since its last update to one side."""

    def __init__(self, maximum: int = MAX_REPORTED_WORKSPACES) -> None:
        """Create an updater that has reported nothing.

        :param maximum: workspaces in one update; of more the newest ones.
        """
        self._maximum = maximum
        self._reported_number = 0

    def rows(
        self,
        now: float,
        service: DecayingService[str],
    ) -> tuple[tuple[str, int], ...]:
        """Return the rows that changed since the last call.

        :param service: what the entry had served at all servers.
        :return: names of workspaces and tokens.
        """
        rows = service.newest(now, self._reported_number, self._maximum)
        self._reported_number = service.number
        return tuple((name, round(tokens)) for name, tokens in rows)
