"""Computes the changes from one state of the list to the next; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from sardinetrack.membership.api import (
    InstanceJoined,
    InstanceLeaving,
    InstanceRemoved,
    MembershipChange,
)
from sardinetrack.store.api import InstanceState, ListedInstance

_MAX_LEAVING_IDS: Final = 8192


class MembershipView:
    """The instances as last listed.

    The list lags and its copies may disagree: an instance that is shutting down
    may be listed as live again. Requests sent to it then would be interrupted,
    so leaving is permanent for an id, also after the id was removed.
    """

    def __init__(self, *, max_leaving_ids: int = _MAX_LEAVING_IDS) -> None:
        """Create a view of an empty list.

        :param max_leaving_ids: how many ids of instances listed as leaving to
            remember.
        """
        self._rows: dict[str, ListedInstance] = {}
        self._leaving_ids: dict[str, None] = {}
        self._max_leaving_ids = max_leaving_ids

    def live(self) -> tuple[ListedInstance, ...]:
        """Return all instances that take new requests."""
        return tuple(
            row
            for row in self._rows.values()
            if row.instance not in self._leaving_ids
        )

    def update(
        self,
        listed: Iterable[ListedInstance],
    ) -> tuple[MembershipChange, ...]:
        """Apply a new state of the list.

        :return: the changes, removed and leaving instances first.
        """
        current = {row.instance: row for row in listed}
        removed = self._remove_absent(current)
        leaving = self._record_leaving(current)
        joined = self._add_new(current)
        return (*removed, *leaving, *joined)

    def _remove_absent(
        self, current: dict[str, ListedInstance]
    ) -> list[InstanceRemoved]:
        removed = [
            InstanceRemoved(row)
            for row in self._rows.values()
            if row.instance not in current
            or _is_another_process(row, current[row.instance])
        ]
        for change in removed:
            self._rows.pop(change.row.instance)
        return removed

    def _record_leaving(
        self,
        current: dict[str, ListedInstance],
    ) -> list[InstanceLeaving]:
        leaving = [
            InstanceLeaving(row)
            for row in current.values()
            if row.state is InstanceState.LEAVING
            and row.instance not in self._leaving_ids
        ]
        for change in leaving:
            self._rows[change.row.instance] = change.row
            self._leaving_ids[change.row.instance] = None
        while len(self._leaving_ids) > self._max_leaving_ids:
            self._leaving_ids.pop(next(iter(self._leaving_ids)))
        return leaving

    def _add_new(
        self, current: dict[str, ListedInstance]
    ) -> list[InstanceJoined]:
        joined = [
            InstanceJoined(row)
            for row in current.values()
            if row.instance not in self._rows
            and row.instance not in self._leaving_ids
        ]
        for change in joined:
            self._rows[change.row.instance] = change.row
        return joined


def _is_another_process(before: ListedInstance, now: ListedInstance) -> bool:
    return replace(before, state=now.state) != now
