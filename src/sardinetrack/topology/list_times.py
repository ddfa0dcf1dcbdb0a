"""When a list was read from the store; reads no clock."""

from __future__ import annotations

import math
from typing import Final

RELIST_GRACE_SECONDS: Final = 1.6
"""How long after an outage a server missing from the list still gets work.

Source: the platform's pages say that servers whose records expired while the
store was unreachable are listed again within about two seconds of its return,
and that one still missing then is removed. A removed server must get no
requests 2 s after this instance has read of the removal, so the grace period
ends before that.
"""
MIN_OUTAGE_SECONDS: Final = 2.0
"""Shortest outage of the store in which records can expire.

Source: a record is removed after three missed intervals of 1.2 s, one of which
may have passed when the outage began.
"""
MAX_GRACE_SECONDS: Final = 2.6
"""How long after a failed call to the store a missing server still gets work.

The store may have returned just after that call, and this instance is bound by
the store's acknowledgements 3 s after the return; the request takes time too.
"""
CHANGE_LAG_SECONDS: Final = 0.25
"""Longest usual time from a change until it arrives, on a sound path: the time
before the next watch begins, and the way of the messages."""


class ListTimes:
    """How old the list is, and whether it may lack servers that run.

    All times are of the boot clock, in seconds.
    """

    def __init__(self) -> None:
        """Start without a response."""
        self.confirmed_seconds = -math.inf
        """The list was complete then."""
        self.responded_seconds = -math.inf
        """When the store responded last."""
        self.accepted_seconds = -math.inf
        """When the store has accepted what is applied now, or a little
        earlier."""
        self.grace_until_seconds = -math.inf
        """Until then servers that are missing get work; also after it while
        the store is unreachable."""
        self._failed_seconds = -math.inf

    @property
    def unreachable(self) -> bool:
        """Whether the store has not responded since a call that failed."""
        return self._failed_seconds > self.confirmed_seconds

    def grace_is_over(self, now: float) -> bool:
        """Return whether servers that are missing get no work any more.

        While the store is unreachable, they could not have been listed again.
        """
        return now >= self.grace_until_seconds and not self.unreachable

    def confirm(self, now: float, asked_seconds: float) -> None:
        """Record that the store has responded.

        :param asked_seconds: when it was asked; the list was complete then.
        """
        self.confirmed_seconds = max(self.confirmed_seconds, asked_seconds)
        self.responded_seconds = now

    def record_failure(self, sent_seconds: float) -> None:
        """Record that a call of this process to the store has failed.

        :param sent_seconds: when it was sent.
        """
        self._failed_seconds = max(self._failed_seconds, sent_seconds)

    def begin_listing(self, now: float) -> None:
        """Handle that everything is listed anew."""
        self.accepted_seconds = self.responded_seconds
        self._begin_grace(now)

    def begin_change(self, now: float) -> None:
        """Handle a change; a watch is answered as soon as something changes."""
        self.accepted_seconds = max(
            self.responded_seconds, now - CHANGE_LAG_SECONDS
        )
        self._begin_grace(now)

    def begin_announcement(self) -> None:
        """Handle that a server has announced its end in a response."""
        self.accepted_seconds = self.responded_seconds

    def _begin_grace(self, now: float) -> None:
        """Begin the grace period if the store was unreachable until now.

        Records expire while the store is unreachable, though the servers run.
        If they were removed immediately, every request would be refused for
        two seconds after each outage, while all servers are idle.

        What a neighbour reports begins no grace period: only its own path to
        the store may be broken, and a record that is missing then was removed.

        A store that fails again within the grace period interrupts it.
        """
        if not self.unreachable:
            return
        silent_seconds = now - self.responded_seconds
        if silent_seconds >= MIN_OUTAGE_SECONDS:
            until_seconds = now + RELIST_GRACE_SECONDS
        elif self.grace_until_seconds > self.responded_seconds:
            until_seconds = self.grace_until_seconds + silent_seconds
        else:
            return
        self.grace_until_seconds = min(
            until_seconds, self._failed_seconds + MAX_GRACE_SECONDS
        )
