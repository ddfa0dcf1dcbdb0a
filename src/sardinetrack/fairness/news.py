"""What an entry tells a side, beside a question, of whom it had served."""

from __future__ import annotations

from typing import Final

from sardinetrack.fairness.recent import RecentService

MOST_TOLD: Final = 8
"""Workspaces told with a question; some 200 bytes.

A side hears of a workspace from entries that ask there for it, each of them
more seldom than the past fades when its callers come through many entries to
many engines. It is then believed to have been served less than it was. Of two
workspaces that each ask for all that forty engines read, the one behind
twenty entries got 1.8 times what the one behind a single entry got; with 8
told, 1.2 times (tests/admission/spread.py).
"""


class ServiceNews:
    """Whom an entry had served since it was last told at one side."""

    def __init__(self, most: int = MOST_TOLD) -> None:
        """Start with nothing told.

        :param most: workspaces told at once; of more the newest ones.
        """
        self._most = most
        self._told_number = 0

    def rows(
        self,
        now: float,
        service: RecentService[str],
    ) -> tuple[tuple[str, int], ...]:
        """Tell what is new, once.

        :param service: what the entry had served, anywhere.
        :return: names of workspaces and tokens.
        """
        rows = service.newest(now, self._told_number, self._most)
        self._told_number = service.number
        return tuple((name, round(tokens)) for name, tokens in rows)
