"""Bids of all entries at one side, and the grants still open."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.fairness.invariant import ensure
from sardinetrack.messages.api import BidRow, Bids

FRESH_SECONDS: Final = 0.5
"""Among rows this recent the highest tag counts, otherwise the newest row.

Of two entries that bid for one workspace, the one that has seen more of its
service has the higher tag; but an old row may be high because a charge has
been corrected downwards since.
"""
BIDS_KEEP_SECONDS: Final = 20.0
"""Bids not refreshed for this long are dropped."""


@dataclass(slots=True)
class OpenGrant:
    """A slot reserved for an entry."""

    number: int
    workspace: str
    """Whose bid earned it; the entry may pick another on receipt."""
    charge: float
    sent_seconds: float
    expires_seconds: float
    open: bool = True
    """Neither used nor declined nor expired."""
    included: bool = False
    """The entry's latest bids already include its charge."""


@dataclass(slots=True)
class _EntryBids:
    rows: dict[str, BidRow] = field(default_factory=dict)
    grants: dict[int, OpenGrant] = field(default_factory=dict)
    """Grants whose charge the rows don't include yet."""
    last_number: int = 0
    granted_seconds: dict[str, float] = field(default_factory=dict)
    """When each workspace last got a grant here, on the monotonic clock."""
    updated_seconds: float = 0


@dataclass(frozen=True, slots=True)
class NextBid:
    """The entry and workspace to which the next grant may go."""

    entry: str
    row: BidRow
    tag: float
    urgency: float
    """Waiting requests without a grant, times seconds since the last grant."""


class BidTable:
    """Orders workspaces by their most recent tags."""

    def __init__(self) -> None:
        self._entries: dict[str, _EntryBids] = {}
        self.open_grants = 0

    def put(self, now: float, entry: str, bids: Bids) -> None:
        """Replace an entry's bids.

        :param now: monotonic time.
        :param entry: whose bids.
        :param bids: all its bids for this pool.
        """
        state = self._entries.setdefault(entry, _EntryBids())
        state.updated_seconds = now
        state.rows = {row.workspace: row for row in bids.rows}
        for number in list(state.grants):
            if number <= bids.grants_seen:
                state.grants[number].included = True

    def clear(self, entry: str) -> None:
        """Drop the bids of an entry that has no request for a slot."""
        state = self._entries.get(entry)
        if state is not None:
            state.rows = {}

    def remove_entry(self, entry: str) -> None:
        """Drop an entry's bids and grants; its next link counts from 1."""
        state = self._entries.pop(entry, None)
        if state is not None:
            self.open_grants -= sum(one.open for one in state.grants.values())

    def best(self, now: float) -> NextBid | None:
        """Find the lowest tag with waiting requests that have no grant.

        Where several entries bid for one workspace, all have its tag; each
        gets grants in proportion to its waiting requests. Chosen by queue
        length alone, the requests of one entry could wait indefinitely.

        :param now: monotonic time.
        :return: the next bid, ``None`` when no request waits.
        """
        tags = self._tags()
        return min(
            self._candidates(now, tags),
            key=lambda one: (one.tag, -one.urgency),
            default=None,
        )

    def grant(
        self,
        now: float,
        bid: NextBid,
        valid_seconds: float,
    ) -> int:
        """Open a grant for a bid.

        :param now: monotonic time.
        :param bid: as found by ``best``.
        :param valid_seconds: how long the slot stays reserved.
        :return: the grant's number on this link.
        """
        state = self._entries[bid.entry]
        state.last_number += 1
        state.grants[state.last_number] = OpenGrant(
            state.last_number,
            bid.row.workspace,
            bid.row.hint_cost,
            now,
            now + valid_seconds,
        )
        state.granted_seconds[bid.row.workspace] = now
        self.open_grants += 1
        return state.last_number

    def close(self, entry: str, number: int) -> OpenGrant | None:
        """Close an open grant; its charge counts until bids include it.

        :param entry: to which it was sent.
        :param number: its number on the link.
        :return: the grant, ``None`` when it was no longer open.
        """
        state = self._entries.get(entry)
        if state is None:
            return None
        grant = state.grants.get(number)
        if grant is None:
            return None
        if not grant.open:
            return None
        grant.open = False
        self.open_grants -= 1
        return grant

    def sent_seconds(self, entry: str, number: int) -> float | None:
        """Return when a grant was sent, also if it has expired since."""
        state = self._entries.get(entry)
        grant = state.grants.get(number) if state else None
        return None if grant is None else grant.sent_seconds

    def expire(self, now: float) -> int:
        """Close grants and drop bids that are too old.

        A grant or its response may be lost, or the entry may hang. The slot
        must neither stay reserved nor be reserved again for an unresponsive
        entry; a running entry bids again with its next run request or refresh.

        :param now: monotonic time.
        :return: how many grants expired.
        """
        expired = 0
        for entry, state in self._entries.items():
            if now - state.updated_seconds > BIDS_KEEP_SECONDS:
                state.rows = {}
            expired += self._expire_grants(now, entry, state)
        return expired

    def check(self) -> None:
        """Check that each reserved slot belongs to one open grant."""
        counted = sum(
            grant.open
            for state in self._entries.values()
            for grant in state.grants.values()
        )
        ensure(
            counted == self.open_grants,
            'the count of reserved slots equals the open grants',
        )

    def _expire_grants(self, now: float, entry: str, state: _EntryBids) -> int:
        expired = 0
        for number, grant in list(state.grants.items()):
            if grant.open and grant.expires_seconds <= now:
                grant.open = False
                grant.included = True
                state.rows = {}
                self.open_grants -= 1
                expired += 1
            elif now - grant.sent_seconds > BIDS_KEEP_SECONDS:
                state.grants.pop(number)
        return expired

    def _tags(self) -> dict[str, float]:
        tags: dict[str, float] = {}
        newest_first = sorted(
            self._entries.values(),
            key=lambda state: state.updated_seconds,
            reverse=True,
        )
        for state in newest_first:
            age_seconds = (
                newest_first[0].updated_seconds - state.updated_seconds
            )
            for row in state.rows.values():
                known = tags.get(row.workspace, row.tag)
                higher = row.tag > known and age_seconds < FRESH_SECONDS
                tags[row.workspace] = row.tag if higher else known
        for charged, charge in self._pending_charges():
            tag = tags.get(charged)
            if tag is not None:
                tags[charged] = tag + charge
        return tags

    def _pending_charges(self) -> Iterator[tuple[str, float]]:
        for state in self._entries.values():
            for grant in self._pending_grants(state):
                yield grant.workspace, grant.charge

    def _pending_grants(self, state: _EntryBids) -> Iterator[OpenGrant]:
        return (one for one in state.grants.values() if not one.included)

    def _candidates(
        self,
        now: float,
        tags: Mapping[str, float],
    ) -> Iterator[NextBid]:
        for entry, state in self._entries.items():
            granted = Counter(
                grant.workspace for grant in self._pending_grants(state)
            )
            for name, row in state.rows.items():
                ungranted = row.waiting - granted[name]
                if ungranted > 0:
                    last_seconds = state.granted_seconds.get(name, 0)
                    urgency = ungranted * (now - last_seconds)
                    yield NextBid(entry, row, tags[name], urgency)
