"""Admission at one side: who gets the next slot of its backend server."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.api import (
    Admission,
    Announce,
    Arrival,
    RefusalReason,
    Refuse,
    SendGrant,
    SideEffect,
    Start,
    Stop,
)
from sardinetrack.admission.board import BidBoard, Candidate
from sardinetrack.admission.book import (
    AttemptBook,
    AttemptEvent,
    AttemptState,
)
from sardinetrack.admission.staging import Staging
from sardinetrack.fairness.invariant import ensure
from sardinetrack.messages.api import Bids, Grant, SideLoad, SidePhase
from sardinetrack.messages.run import Fate

_ANNOUNCE_SECONDS: Final = 5.0
"""Quiet sides tell a changed load so often."""


@dataclass(frozen=True, slots=True)
class _Held:
    arrival: Arrival
    expires_seconds: float


class SlotAdmission(Admission):
    """Starts, holds back or refuses; grants free slots to the lowest tag."""

    def __init__(self, incarnation: str, limit: int) -> None:
        """Start empty.

        :param incarnation: names this process.
        :param limit: requests that may run at once.
        """
        self._incarnation = incarnation
        self._limit = limit
        self._draining = False
        self._board = BidBoard()
        self._book = AttemptBook()
        self._staging = Staging()
        self._running: dict[str, float] = {}
        self._held: dict[str, _Held] = {}
        self._suspects: set[str] = set()
        """Struck requests here, one at most.

        Were two running when the server crashed, both would be struck again
        and the innocent one condemned with the other.
        """
        self._virtual_time = float(0)
        self._announced = (limit, float(0))

    def arrive(self, now: float, arrival: Arrival) -> Sequence[SideEffect]:
        """Start, hold back or refuse a request that reached the side."""
        granted = self._take_grant(now, arrival)
        reason = self._objection(arrival, granted=granted)
        if reason is not None:
            return self._refuse_new(now, arrival.attempt_id, reason)
        if arrival.suspect:
            self._suspects.add(arrival.attempt_id)
        self._book.note(now, arrival.attempt_id, AttemptEvent.ARRIVE)
        self._held[arrival.attempt_id] = _Held(
            arrival,
            now + arrival.wait_seconds,
        )
        return self._turn(now)

    def bids(
        self,
        now: float,
        entry: str,
        bids: Bids,
    ) -> Sequence[SideEffect]:
        """Replace the bids of an entry."""
        self._board.put(now, entry, bids)
        return self._turn(now)

    def decline(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[SideEffect]:
        """Take back a slot that an entry has no use for."""
        self._board.close(entry, number)
        self._board.clear(entry)
        return self._turn(now)

    def entry_lost(self, now: float, entry: str) -> Sequence[SideEffect]:
        """Drop the bids and grants of an entry whose link broke."""
        self._board.lose(entry)
        return self._turn(now)

    def finished(
        self,
        now: float,
        attempt_id: str,
        *,
        whole: bool,
        cost: float,
        stopped: bool = False,
    ) -> Sequence[SideEffect]:
        """Free the slot of a request that ended."""
        self._suspects.discard(attempt_id)
        started_seconds = self._running.pop(attempt_id, None)
        if started_seconds is None:
            return ()
        self._staging.ran(now - started_seconds)
        end = AttemptEvent.STOP if stopped else AttemptEvent.FAIL
        if whole:
            end = AttemptEvent.FINISH
        self._book.note(now, attempt_id, end)
        return self._turn(now)

    def query(
        self,
        now: float,
        attempt_id: str,
        *,
        cancel: bool,
    ) -> tuple[Fate, Sequence[SideEffect]]:
        """Tell the fate of an attempt; one not started never will be."""
        fate = self._book.ask(now, attempt_id)
        if self._held.pop(attempt_id, None) is not None:
            self._suspects.discard(attempt_id)
            refusal = Refuse(attempt_id, RefusalReason.TOMBSTONED)
            return fate, (refusal, *self._turn(now))
        if cancel and fate is Fate.RUNNING:
            return fate, (Stop(attempt_id),)
        return fate, ()

    def resize(self, now: float, limit: int) -> Sequence[SideEffect]:
        """Change how many requests may run at once."""
        gone = self._limit > 0 and limit == 0
        self._limit = limit
        effects = self._turn(now)
        # Entries that learned of it late would tell a side without slots of
        # their waiting work, and nobody else.
        return (*effects, self._announce(now)) if gone else effects

    def drain(self, now: float) -> Sequence[SideEffect]:
        """Take no new work; running work finishes."""
        self._draining = True
        effects: list[SideEffect] = []
        for attempt_id in list(self._held):
            effects.extend(self._refuse_held(now, attempt_id, 'draining'))
        return (*effects, Announce())

    def tick(self, now: float) -> Sequence[SideEffect]:
        """Expire grants, held requests and old records."""
        self._board.expire(now)
        self._board.check()
        self._book.forget(now)
        effects: list[SideEffect] = []
        for attempt_id, held in list(self._held.items()):
            if held.expires_seconds <= now:
                effects.extend(self._refuse_held(now, attempt_id, 'expired'))
        effects.extend(self._turn(now))
        free, announced_seconds = self._announced
        due = now - announced_seconds >= _ANNOUNCE_SECONDS
        if due and free != self._free and Announce() not in effects:
            effects.append(self._announce(now))
        return effects

    def load(self) -> SideLoad:
        """Describe what the side can take now."""
        phase = SidePhase.DRAINING if self._draining else SidePhase.SERVING
        return SideLoad(
            self._incarnation,
            phase,
            self._limit,
            len(self._running),
            0 if self._draining else self._free,
            self._virtual_time,
        )

    @property
    def _free(self) -> int:
        taken = len(self._running) + len(self._held) + self._board.open_grants
        return max(0, self._limit - taken)

    @property
    def _room(self) -> int:
        taken = len(self._running) + len(self._held) + self._board.open_grants
        return self._limit + self._staging.depth(self._limit) - taken

    def _take_grant(self, now: float, arrival: Arrival) -> bool:
        """Close the grant of an arrival, and learn how long it took.

        One that comes after its grant expired teaches most: were its time
        left out, a round trip longer than the first guess would never be
        learned, every grant would expire and nothing would start.
        """
        sent = self._board.sent_seconds(arrival.entry, arrival.grant)
        if sent is None:
            return False
        self._staging.answered(now - sent)
        granted = self._board.close(arrival.entry, arrival.grant) is not None
        return granted or self._room > 0

    def _objection(
        self,
        arrival: Arrival,
        *,
        granted: bool,
    ) -> RefusalReason | None:
        state = self._book.state(arrival.attempt_id)
        if state is AttemptState.TOMBSTONED:
            return RefusalReason.TOMBSTONED
        if state is not AttemptState.UNSEEN:
            return RefusalReason.DUPLICATE
        if self._draining:
            return RefusalReason.DRAINING
        if arrival.suspect and self._suspects:
            return RefusalReason.BUSY
        if granted or self._free > 0:
            return None
        return RefusalReason.BUSY

    def _refuse_new(
        self,
        now: float,
        attempt_id: str,
        reason: RefusalReason,
    ) -> Sequence[SideEffect]:
        if reason in {RefusalReason.BUSY, RefusalReason.DRAINING}:
            self._book.note(now, attempt_id, AttemptEvent.REFUSE)
        return (Refuse(attempt_id, reason), *self._turn(now))

    def _refuse_held(
        self,
        now: float,
        attempt_id: str,
        reason: str,
    ) -> Sequence[SideEffect]:
        self._held.pop(attempt_id)
        self._suspects.discard(attempt_id)
        self._book.note(now, attempt_id, AttemptEvent.REFUSE)
        return (Refuse(attempt_id, RefusalReason(reason)),)

    def _turn(self, now: float) -> Sequence[SideEffect]:
        effects: list[SideEffect] = []
        while self._held and len(self._running) < self._limit:
            effects.append(self._start_lowest(now))
        if not self._draining:
            effects.extend(self._grant_spare(now))
        announced_free, _ = self._announced
        if self._free > 0 and announced_free == 0:
            effects.append(self._announce(now))
        elif self._free == 0:
            self._announced = (0, now)
        return effects

    def _start_lowest(self, now: float) -> SideEffect:
        ensure(len(self._running) < self._limit, 'a start needs a free slot')
        attempt_id = min(
            self._held,
            key=lambda held_id: self._held[held_id].arrival.tag,
        )
        self._held.pop(attempt_id)
        self._running[attempt_id] = now
        self._book.note(now, attempt_id, AttemptEvent.START)
        return Start(attempt_id)

    def _grant_spare(self, now: float) -> Sequence[SideEffect]:
        effects: list[SideEffect] = []
        for _ in range(self._room):
            candidate = self._board.best(now)
            if candidate is None:
                break
            effects.append(self._grant(now, candidate))
        return effects

    def _grant(self, now: float, candidate: Candidate) -> SideEffect:
        ensure(not self._draining, 'a draining side grants nothing')
        valid_seconds = self._staging.valid_seconds
        number = self._board.grant(now, candidate, valid_seconds)
        self._virtual_time = max(self._virtual_time, candidate.tag)
        grant = Grant(number, valid_seconds, candidate.row.workspace)
        return SendGrant(candidate.entry, grant)

    def _announce(self, now: float) -> SideEffect:
        self._announced = (self._free, now)
        return Announce()
