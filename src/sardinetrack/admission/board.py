"""Bids of all entries at one side, and the grants not yet answered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.fairness.invariant import ensure
from sardinetrack.messages.api import BidRow, Bids

FRESH_SECONDS: Final = 0.5
"""Among rows so young the highest tag counts, else the youngest row.

Of two entries that speak of one workspace, the one that saw more of its
service tells the higher tag; but an old row may be high because a charge
was trued down since.
"""
BIDS_KEEP_SECONDS: Final = 20.0
"""Bids not refreshed for so long are dropped."""


@dataclass(slots=True)
class OpenGrant:
    """A slot set aside for an entry."""

    number: int
    workspace: str
    """Whose bid earned it; the entry may pick another on receipt."""
    charge: float
    sent_seconds: float
    expires_seconds: float
    open: bool = True
    """Neither used nor declined nor expired."""
    included: bool = False
    """The entry's bids speak of a time after it saw the grant."""


@dataclass(slots=True)
class _Link:
    rows: dict[str, BidRow] = field(default_factory=dict)
    grants: dict[int, OpenGrant] = field(default_factory=dict)
    """Grants whose charge the rows don't include yet."""
    last_number: int = 0
    granted_seconds: dict[str, float] = field(default_factory=dict)
    """When each workspace last got a grant here."""
    heard_seconds: float = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """The entry and workspace that come next."""

    entry: str
    row: BidRow
    tag: float
    claim: float
    """Waiting requests that no grant covers, times seconds without one."""


class BidBoard:
    """Orders workspaces by the freshest knowledge of their tags."""

    def __init__(self) -> None:
        """Start empty."""
        self._links: dict[str, _Link] = {}
        self.open_grants = 0

    def put(self, now: float, entry: str, bids: Bids) -> None:
        """Replace an entry's bids.

        :param now: monotonic time.
        :param entry: whose bids.
        :param bids: all it has for this pool.
        """
        link = self._links.setdefault(entry, _Link())
        link.heard_seconds = now
        link.rows = {row.workspace: row for row in bids.rows}
        for number in list(link.grants):
            if number <= bids.grants_seen:
                link.grants[number].included = True

    def clear(self, entry: str) -> None:
        """Drop the bids of an entry that has no work for a slot."""
        link = self._links.get(entry)
        if link is not None:
            link.rows = {}

    def lose(self, entry: str) -> None:
        """Drop an entry's bids and grants; its next link counts anew."""
        link = self._links.pop(entry, None)
        if link is not None:
            self.open_grants -= sum(one.open for one in link.grants.values())

    def best(self, now: float) -> Candidate | None:
        """Find the lowest tag with waiting work that no grant covers.

        Where several entries bid for one workspace, all have its tag; each
        gets grants in proportion to its waiting work. By the longest line
        alone, one entry's requests would wait for ever.

        :param now: monotonic time.
        :return: who comes next, ``None`` when nobody waits.
        """
        tags = self._tags()
        return min(
            self._candidates(now, tags),
            key=lambda one: (one.tag, -one.claim),
            default=None,
        )

    def grant(
        self,
        now: float,
        candidate: Candidate,
        valid_seconds: float,
    ) -> int:
        """Open a grant for a candidate.

        :param now: monotonic time.
        :param candidate: as found by ``best``.
        :param valid_seconds: how long the slot is set aside.
        :return: the grant's number on this link.
        """
        link = self._links[candidate.entry]
        link.last_number += 1
        link.grants[link.last_number] = OpenGrant(
            link.last_number,
            candidate.row.workspace,
            candidate.row.hint_cost,
            now,
            now + valid_seconds,
        )
        link.granted_seconds[candidate.row.workspace] = now
        self.open_grants += 1
        return link.last_number

    def close(self, entry: str, number: int) -> OpenGrant | None:
        """Close an open grant; its charge stays until bids include it.

        :param entry: to whom it was sent.
        :param number: its number on the link.
        :return: the grant, ``None`` when it was not open any more.
        """
        link = self._links.get(entry)
        if link is None:
            return None
        grant = link.grants.get(number)
        if grant is None:
            return None
        if not grant.open:
            return None
        grant.open = False
        self.open_grants -= 1
        return grant

    def sent_seconds(self, entry: str, number: int) -> float | None:
        """Tell when a grant was sent, also when it has expired since."""
        link = self._links.get(entry)
        grant = link.grants.get(number) if link else None
        return None if grant is None else grant.sent_seconds

    def expire(self, now: float) -> int:
        """Close grants and drop bids that are too old.

        A grant or its answer may be lost, or the entry frozen. The slot must
        not stay aside, nor be set aside again for an entry that is silent;
        one that lives bids again with its next order or refresh.

        :param now: monotonic time.
        :return: how many grants expired.
        """
        expired = 0
        for entry, link in self._links.items():
            if now - link.heard_seconds > BIDS_KEEP_SECONDS:
                link.rows = {}
            expired += self._expire_grants(now, entry, link)
        return expired

    def check(self) -> None:
        """Check that each slot set aside belongs to one open grant."""
        counted = sum(
            grant.open
            for link in self._links.values()
            for grant in link.grants.values()
        )
        ensure(counted == self.open_grants, 'slots set aside are conserved')

    def _expire_grants(self, now: float, entry: str, link: _Link) -> int:
        expired = 0
        for number, grant in list(link.grants.items()):
            if grant.open and grant.expires_seconds <= now:
                grant.open = False
                grant.included = True
                link.rows = {}
                self.open_grants -= 1
                expired += 1
            elif now - grant.sent_seconds > BIDS_KEEP_SECONDS:
                link.grants.pop(number)
        return expired

    def _tags(self) -> dict[str, float]:
        tags: dict[str, float] = {}
        links = sorted(
            self._links.values(),
            key=lambda link: link.heard_seconds,
            reverse=True,
        )
        for link in links:
            age_seconds = links[0].heard_seconds - link.heard_seconds
            for row in link.rows.values():
                known = tags.get(row.workspace, row.tag)
                higher = row.tag > known and age_seconds < FRESH_SECONDS
                tags[row.workspace] = row.tag if higher else known
        for charged, charge in self._pending_charges():
            tag = tags.get(charged)
            if tag is not None:
                tags[charged] = tag + charge
        return tags

    def _pending_charges(self) -> Iterator[tuple[str, float]]:
        for link in self._links.values():
            for grant in self._pending_of(link):
                yield grant.workspace, grant.charge

    def _pending_of(self, link: _Link) -> Iterator[OpenGrant]:
        return (one for one in link.grants.values() if not one.included)

    def _candidates(
        self,
        now: float,
        tags: Mapping[str, float],
    ) -> Iterator[Candidate]:
        for entry, link in self._links.items():
            taken = Counter(grant.workspace for grant in self._pending_of(link))
            for name, row in link.rows.items():
                spare = row.waiting - taken[name]
                if spare > 0:
                    last_seconds = link.granted_seconds.get(name, 0)
                    claim = spare * (now - last_seconds)
                    yield Candidate(entry, row, tags[name], claim)
