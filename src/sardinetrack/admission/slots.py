"""Admission at one side: which request gets the next slot of its server."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.api import (
    Admission,
    AdmissionEffect,
    Arrival,
    BroadcastLoad,
    CancelRequest,
    RefusalReason,
    RefuseRequest,
    SendGrant,
    StartRequest,
)
from sardinetrack.admission.attempts import (
    AttemptEvent,
    AttemptRegistry,
    AttemptState,
)
from sardinetrack.admission.bid_table import BidTable, NextBid
from sardinetrack.admission.grant_prefetch import GrantPrefetch
from sardinetrack.fairness.invariant import ensure
from sardinetrack.messages.api import Bids, Grant, SideLoad, SidePhase
from sardinetrack.messages.run import AttemptStatus

_FINAL_REFUSALS: Final = frozenset(
    (RefusalReason.BUSY, RefusalReason.DRAINING, RefusalReason.RESTING)
)
"""Refusals of attempts that were unseen; they are tombstoned."""
_ANNOUNCE_SECONDS: Final = 5.0
"""Interval at which an idle side announces a changed load."""


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    arrival: Arrival
    expires_seconds: float


class SlotAdmission(Admission):
    """Starts, queues or refuses; grants free slots to the lowest tag."""

    def __init__(self, incarnation: str, limit: int) -> None:
        """Start with all slots free.

        :param incarnation: identifies this run of the process.
        :param limit: requests that may run concurrently.
        """
        self._incarnation = incarnation
        self._limit = limit
        self._draining = False
        self._resting = False
        self._bids = BidTable()
        self._attempts = AttemptRegistry()
        self._prefetch = GrantPrefetch()
        self._running: dict[str, float] = {}
        self._queued: dict[str, _QueuedRequest] = {}
        self._suspects: set[str] = set()
        """Suspect requests queued or running here, one at most.

        Were two running when the server crashed, both would get another strike
        and the harmless one would be blocked with the other.
        """
        self._virtual_time = float(0)
        self._announced = (limit, float(0))

    def arrive(self, now: float, arrival: Arrival) -> Sequence[AdmissionEffect]:
        """Start, queue or refuse a request that reached the side."""
        granted = self._use_grant(now, arrival)
        reason = self._refusal_reason(arrival, granted=granted)
        if reason is not None:
            return self._refuse_new(now, arrival.attempt_id, reason)
        if arrival.suspect:
            self._suspects.add(arrival.attempt_id)
        self._attempts.apply(now, arrival.attempt_id, AttemptEvent.ARRIVE)
        self._queued[arrival.attempt_id] = _QueuedRequest(
            arrival,
            now + arrival.wait_seconds,
        )
        return self._fill_slots(now)

    def update_bids(
        self,
        now: float,
        entry: str,
        bids: Bids,
    ) -> Sequence[AdmissionEffect]:
        """Replace the bids of an entry."""
        self._bids.put(now, entry, bids)
        return self._fill_slots(now)

    def decline(
        self,
        now: float,
        entry: str,
        number: int,
    ) -> Sequence[AdmissionEffect]:
        """Reclaim the slot of a grant that an entry declined."""
        self._bids.close(entry, number)
        self._bids.clear(entry)
        return self._fill_slots(now)

    def entry_disconnected(
        self, now: float, entry: str
    ) -> Sequence[AdmissionEffect]:
        """Drop the bids and grants of an entry whose link broke."""
        self._bids.remove_entry(entry)
        return self._fill_slots(now)

    def finished(
        self,
        now: float,
        attempt_id: str,
        *,
        is_complete: bool,
        cost: float,
        stopped: bool = False,
    ) -> Sequence[AdmissionEffect]:
        """Free the slot of a request that ended."""
        self._suspects.discard(attempt_id)
        started_seconds = self._running.pop(attempt_id, None)
        if started_seconds is None:
            return ()
        self._prefetch.request_ended(now - started_seconds)
        end = AttemptEvent.STOP if stopped else AttemptEvent.FAIL
        if is_complete:
            end = AttemptEvent.FINISH
        self._attempts.apply(now, attempt_id, end)
        return self._fill_slots(now)

    def resolve_status(
        self,
        now: float,
        attempt_id: str,
        *,
        cancel: bool,
    ) -> tuple[AttemptStatus, Sequence[AdmissionEffect]]:
        """Return the status of an attempt; one not started never will be."""
        status = self._attempts.final_status(now, attempt_id)
        if self._queued.pop(attempt_id, None) is not None:
            self._suspects.discard(attempt_id)
            refusal = RefuseRequest(attempt_id, RefusalReason.TOMBSTONED)
            return status, (refusal, *self._fill_slots(now))
        if cancel and status is AttemptStatus.RUNNING:
            return status, (CancelRequest(attempt_id),)
        return status, ()

    def resize(self, now: float, limit: int) -> Sequence[AdmissionEffect]:
        """Change how many requests may run concurrently."""
        closed = self._limit > 0 and limit == 0
        self._limit = limit
        effects = self._fill_slots(now)
        # Entries that learn of it late would send the bids of their waiting
        # requests to a side without slots, and to no other side.
        return (*effects, self._announce(now)) if closed else effects

    def begin_rest(self, now: float) -> Sequence[AdmissionEffect]:
        """Start nothing until ``end_rest``; running requests go on."""
        self._resting = True
        refusals = self._refuse_all_queued(now, RefusalReason.RESTING)
        return (*refusals, self._announce(now))

    def end_rest(self, now: float) -> Sequence[AdmissionEffect]:
        """Start requests again."""
        self._resting = False
        # Announced even if grants take all slots: entries that know of no slot
        # would reject their requests.
        return (*self._fill_slots(now), self._announce(now))

    def drain(self, now: float) -> Sequence[AdmissionEffect]:
        """Accept no new requests; running requests finish."""
        self._draining = True
        refusals = self._refuse_all_queued(now, RefusalReason.DRAINING)
        return (*refusals, BroadcastLoad())

    def end_drain(self, now: float) -> Sequence[AdmissionEffect]:
        """Accept requests again."""
        self._draining = False
        return (*self._fill_slots(now), self._announce(now))

    def tick(self, now: float) -> Sequence[AdmissionEffect]:
        """Expire grants, queued requests and old records."""
        self._bids.expire(now)
        self._bids.check()
        self._attempts.drop_expired(now)
        effects: list[AdmissionEffect] = []
        for attempt_id, queued in list(self._queued.items()):
            if queued.expires_seconds <= now:
                effects.append(
                    self._refuse_queued(now, attempt_id, RefusalReason.EXPIRED)
                )
        effects.extend(self._fill_slots(now))
        free, announced_seconds = self._announced
        due = now - announced_seconds >= _ANNOUNCE_SECONDS
        if due and free != self._free and BroadcastLoad() not in effects:
            effects.append(self._announce(now))
        return effects

    def load(self) -> SideLoad:
        """Return the load report of the side."""
        phase = SidePhase.DRAINING if self._draining else SidePhase.SERVING
        return SideLoad(
            self._incarnation,
            phase,
            self._usable_limit,
            len(self._running),
            0 if self._draining else self._free,
            self._virtual_time,
        )

    @property
    def _usable_limit(self) -> int:
        return 0 if self._resting else self._limit

    @property
    def _free(self) -> int:
        taken = len(self._running) + len(self._queued) + self._bids.open_grants
        return max(0, self._usable_limit - taken)

    @property
    def _grantable(self) -> int:
        taken = len(self._running) + len(self._queued) + self._bids.open_grants
        limit = self._usable_limit
        return limit + self._prefetch.depth(limit) - taken

    def _use_grant(self, now: float, arrival: Arrival) -> bool:
        """Close the grant of an arrival, and update the round trip time.

        Arrivals after their grant expired matter most: were their times left
        out, a round trip longer than the initial estimate would never be
        measured, every grant would expire and nothing would start.
        """
        sent = self._bids.sent_seconds(arrival.entry, arrival.grant)
        if sent is None:
            return False
        self._prefetch.grant_used(now - sent)
        granted = self._bids.close(arrival.entry, arrival.grant) is not None
        return granted or self._grantable > 0

    def _refusal_reason(
        self,
        arrival: Arrival,
        *,
        granted: bool,
    ) -> RefusalReason | None:
        state = self._attempts.state(arrival.attempt_id)
        if state is AttemptState.TOMBSTONED:
            return RefusalReason.TOMBSTONED
        if state is not AttemptState.UNSEEN:
            return RefusalReason.DUPLICATE
        if self._draining:
            return RefusalReason.DRAINING
        if self._resting:
            return RefusalReason.RESTING
        avoids = arrival.suspect and self._suspects
        startable = granted or self._free > 0
        return None if startable and not avoids else RefusalReason.BUSY

    def _refuse_new(
        self,
        now: float,
        attempt_id: str,
        reason: RefusalReason,
    ) -> Sequence[AdmissionEffect]:
        if reason in _FINAL_REFUSALS:
            self._attempts.apply(now, attempt_id, AttemptEvent.REFUSE)
        return (RefuseRequest(attempt_id, reason), *self._fill_slots(now))

    def _refuse_queued(
        self,
        now: float,
        attempt_id: str,
        reason: RefusalReason,
    ) -> AdmissionEffect:
        self._queued.pop(attempt_id)
        self._suspects.discard(attempt_id)
        self._attempts.apply(now, attempt_id, AttemptEvent.REFUSE)
        return RefuseRequest(attempt_id, reason)

    def _refuse_all_queued(
        self, now: float, reason: RefusalReason
    ) -> Sequence[AdmissionEffect]:
        return [
            self._refuse_queued(now, attempt_id, reason)
            for attempt_id in list(self._queued)
        ]

    def _fill_slots(self, now: float) -> Sequence[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        while self._queued and len(self._running) < self._usable_limit:
            effects.append(self._start_lowest(now))
        if not self._draining:
            effects.extend(self._grant_available(now))
        announced_free, _ = self._announced
        if self._free > 0 and announced_free == 0:
            effects.append(self._announce(now))
        elif self._free == 0:
            self._announced = (0, now)
        return effects

    def _start_lowest(self, now: float) -> AdmissionEffect:
        ensure(
            len(self._running) < self._usable_limit,
            'a request starts only on a free slot',
        )
        attempt_id = min(
            self._queued,
            key=lambda queued_id: self._queued[queued_id].arrival.tag,
        )
        self._queued.pop(attempt_id)
        self._running[attempt_id] = now
        self._attempts.apply(now, attempt_id, AttemptEvent.START)
        return StartRequest(attempt_id)

    def _grant_available(self, now: float) -> Sequence[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        for _ in range(self._grantable):
            bid = self._bids.best(now)
            if bid is None:
                break
            effects.append(self._grant(now, bid))
        return effects

    def _grant(self, now: float, bid: NextBid) -> AdmissionEffect:
        ensure(not self._draining, 'a draining side sends no grants')
        valid_seconds = self._prefetch.valid_seconds
        number = self._bids.grant(now, bid, valid_seconds)
        self._virtual_time = max(self._virtual_time, bid.tag)
        grant = Grant(number, valid_seconds, bid.row.workspace)
        return SendGrant(bid.entry, grant)

    def _announce(self, now: float) -> AdmissionEffect:
        self._announced = (self._free, now)
        return BroadcastLoad()
