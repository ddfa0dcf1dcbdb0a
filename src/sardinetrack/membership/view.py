"""Tell changes from one state of the list to the next; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from sardinetrack.membership.api import (
    Gone,
    Joined,
    Leaving,
    MembershipChange,
)
from sardinetrack.store.api import InstanceState, ListedInstance

_KEPT_LEFT: Final = 8192


class MembershipView:
    """The instances as last listed.

    The list lags and its copies may disagree: one that was told to leave may
    be shown as live again. Work sent to it then would be cut off, so leaving
    is final for an id, also after the id has gone.
    """

    def __init__(self, *, kept_left: int = _KEPT_LEFT) -> None:
        """Start empty.

        :param kept_left: ids of instances that left to remember.
        """
        self._rows: dict[str, ListedInstance] = {}
        self._left: dict[str, None] = {}
        self._kept_left = kept_left

    def live(self) -> tuple[ListedInstance, ...]:
        """All instances that take new work."""
        return tuple(
            row for row in self._rows.values() if row.instance not in self._left
        )

    def update(
        self,
        listed: Iterable[ListedInstance],
    ) -> tuple[MembershipChange, ...]:
        """Take in a new state of the list.

        :return: the changes, those that end something first.
        """
        fresh = {row.instance: row for row in listed}
        gone = self._drop_absent(fresh)
        leaving = self._note_leaving(fresh)
        joined = self._admit(fresh)
        return (*gone, *leaving, *joined)

    def _drop_absent(self, fresh: dict[str, ListedInstance]) -> list[Gone]:
        gone = [
            Gone(row)
            for row in self._rows.values()
            if row.instance not in fresh or _moved(row, fresh[row.instance])
        ]
        for change in gone:
            self._rows.pop(change.row.instance)
        return gone

    def _note_leaving(
        self,
        fresh: dict[str, ListedInstance],
    ) -> list[Leaving]:
        leaving = [
            Leaving(row)
            for row in fresh.values()
            if row.state is InstanceState.LEAVING
            and row.instance not in self._left
        ]
        for change in leaving:
            self._rows[change.row.instance] = change.row
            self._left[change.row.instance] = None
        while len(self._left) > self._kept_left:
            self._left.pop(next(iter(self._left)))
        return leaving

    def _admit(self, fresh: dict[str, ListedInstance]) -> list[Joined]:
        joined = [
            Joined(row)
            for row in fresh.values()
            if row.instance not in self._rows and row.instance not in self._left
        ]
        for change in joined:
            self._rows[change.row.instance] = change.row
        return joined


def _moved(before: ListedInstance, now: ListedInstance) -> bool:
    return replace(before, state=now.state) != now
