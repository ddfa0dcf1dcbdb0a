"""Delays error responses until other entries have acknowledged a strike."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from sardinetrack.routing.api import EntryEffect, Reject, WaitNotice, WaitReason

MAX_DELAY_SECONDS: Final = 4.0
"""Longer than a link may be silent before it counts as down."""


@dataclass(frozen=True, slots=True)
class _DelayedRejection:
    reject: Reject
    until_seconds: float


class StrikeSync:
    """Tracks which linked entries have acknowledged the strikes sent to them.

    A caller whose request crashed a server retries at another entry as soon
    as it has the error response. An entry without the strike would let the
    request crash the next server, so the response waits for all linked
    entries. Entries whose link is down are not waited for.
    """

    def __init__(self) -> None:
        self._last_number = 0
        self._acknowledged: dict[str, int] = {}
        self._required: dict[str, int] = {}
        self._delayed: list[_DelayedRejection] = []

    def next_number(self) -> int:
        """Return the number for the next strike to be sent."""
        self._last_number += 1
        return self._last_number

    def track_peer(self, entry: str, number: int) -> None:
        """Start waiting for an entry that has linked.

        :param entry: the other entry.
        :param number: of the last strike sent over the new link; 0 for none.
        """
        self._acknowledged[entry] = 0 if number else self._last_number
        self._required[entry] = number

    def untrack_peer(self, entry: str) -> None:
        """Stop waiting for an entry."""
        self._acknowledged.pop(entry, None)
        self._required.pop(entry, None)

    def acknowledge(self, entry: str, number: int) -> None:
        """Record that an entry has acknowledged all strikes up to a number."""
        acknowledged = self._acknowledged.get(entry)
        if acknowledged is not None:
            self._acknowledged[entry] = max(acknowledged, number)

    def deliver(self, now: float, reject: Reject) -> Sequence[EntryEffect]:
        """Return an error response, or delay it.

        :param now: monotonic time.
        :param reject: names the strike that other entries must acknowledge.
        :return: the response, or a notice why it is delayed.
        """
        unacknowledged = self._unacknowledged(reject.strike)
        if not unacknowledged:
            return (replace(reject, strike=0),)
        self._delayed.append(_DelayedRejection(reject, now + MAX_DELAY_SECONDS))
        return (self._notice(reject, WaitReason.CRASH_NEWS, unacknowledged),)

    def due(self, now: float) -> Sequence[EntryEffect]:
        """Return the delayed responses that are now due.

        :param now: monotonic time.
        :return: the responses, each after a notice if the strike is still
            unacknowledged by some entry.
        """
        effects: list[EntryEffect] = []
        still_delayed: list[_DelayedRejection] = []
        for delayed in self._delayed:
            unacknowledged = self._unacknowledged(delayed.reject.strike)
            if unacknowledged and now < delayed.until_seconds:
                still_delayed.append(delayed)
                continue
            if unacknowledged:
                reason = WaitReason.CRASH_UNKNOWN
                effects.append(
                    self._notice(delayed.reject, reason, unacknowledged)
                )
            effects.append(replace(delayed.reject, strike=0))
        self._delayed = still_delayed
        return effects

    def _unacknowledged(self, strike: int) -> tuple[str, ...]:
        return tuple(
            sorted(
                entry
                for entry, acknowledged in self._acknowledged.items()
                if acknowledged < max(strike, self._required[entry])
            ),
        )

    def _notice(
        self,
        reject: Reject,
        reason: WaitReason,
        entries: tuple[str, ...],
    ) -> WaitNotice:
        return WaitNotice(reject.request_id, reason, (), entries, 0)
