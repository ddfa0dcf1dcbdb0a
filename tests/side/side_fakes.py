"""Scripted admission object and configuration of a side."""

from __future__ import annotations

from collections.abc import Sequence

from side_backend import INCARNATION

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
from sardinetrack.catalogue.api import Pool
from sardinetrack.messages.api import (
    Bids,
    ConfigDigest,
    ConfigObject,
    ConfigUpdate,
    Grant,
    SideLoad,
    SidePhase,
)
from sardinetrack.messages.run import AttemptStatus
from sardinetrack.side.configuration import SideConfiguration
from sardinetrack.side.events import AttemptEnded


class FakeAdmission(Admission):
    """Starts requests while slots are free, refuses the others."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.limit = 0
        self.fates: dict[str, AttemptStatus] = {}
        self.draining = False
        self.calls: list[str] = []
        self.ends: list[AttemptEnded] = []

    @property
    def running(self) -> int:
        """Count running attempts."""
        return list(self.fates.values()).count(AttemptStatus.RUNNING)

    def arrive(self, now: float, arrival: Arrival) -> Sequence[AdmissionEffect]:
        """Start the request if a slot is free."""
        self.arrivals.append(arrival)
        known = self.fates.get(arrival.attempt_id)
        if known is not None:
            tombstone = known is AttemptStatus.NOT_STARTED
            return [
                RefuseRequest(
                    arrival.attempt_id,
                    RefusalReason.TOMBSTONED
                    if tombstone
                    else RefusalReason.DUPLICATE,
                )
            ]
        if self.draining:
            return [RefuseRequest(arrival.attempt_id, RefusalReason.DRAINING)]
        if self.running >= self.limit:
            return [RefuseRequest(arrival.attempt_id, RefusalReason.BUSY)]
        self.fates[arrival.attempt_id] = AttemptStatus.RUNNING
        return [StartRequest(arrival.attempt_id), BroadcastLoad()]

    def update_bids(
        self, now: float, entry: str, bids: Bids
    ) -> Sequence[AdmissionEffect]:
        """Grant number 7 for any bids."""
        self.calls.append(f'bids {entry}')
        return [SendGrant(entry, Grant(7, valid_seconds=1))]

    def decline(
        self, now: float, entry: str, number: int
    ) -> Sequence[AdmissionEffect]:
        """Record the call."""
        self.calls.append(f'decline {entry} {number}')
        return ()

    def entry_disconnected(
        self, now: float, entry: str
    ) -> Sequence[AdmissionEffect]:
        """Record the call."""
        self.calls.append(f'lost {entry}')
        return ()

    def finished(
        self,
        now: float,
        attempt_id: str,
        *,
        is_complete: bool,
        cost: float,
        stopped: bool = False,
    ) -> Sequence[AdmissionEffect]:
        """Record the end."""
        fate = AttemptStatus.STOPPED if stopped else AttemptStatus.FAILED
        self.fates[attempt_id] = AttemptStatus.FINISHED if is_complete else fate
        self.ends.append(AttemptEnded(attempt_id, is_complete, cost))
        return [BroadcastLoad()]

    def resolve_status(
        self, now: float, attempt_id: str, *, cancel: bool
    ) -> tuple[AttemptStatus, Sequence[AdmissionEffect]]:
        """Return the fate; an unknown attempt never starts."""
        fate = self.fates.setdefault(attempt_id, AttemptStatus.NOT_STARTED)
        stop = cancel and fate is AttemptStatus.RUNNING
        return fate, [CancelRequest(attempt_id)] if stop else []

    def resize(self, now: float, limit: int) -> Sequence[AdmissionEffect]:
        """Change the number of slots."""
        self.limit = limit
        return [BroadcastLoad()]

    def begin_rest(self, now: float) -> Sequence[AdmissionEffect]:
        """Record the call."""
        self.calls.append('begin rest')
        return ()

    def end_rest(self, now: float) -> Sequence[AdmissionEffect]:
        """Record the call."""
        self.calls.append('end rest')
        return ()

    def drain(self, now: float) -> Sequence[AdmissionEffect]:
        """Refuse from now on."""
        self.draining = True
        return ()

    def end_drain(self, now: float) -> Sequence[AdmissionEffect]:
        """Accept requests again."""
        self.draining = False
        return ()

    def tick(self, now: float) -> Sequence[AdmissionEffect]:
        """Do nothing."""
        return ()

    def load(self) -> SideLoad:
        """Return the load."""
        return SideLoad(
            INCARNATION,
            SidePhase.DRAINING if self.draining else SidePhase.SERVING,
            self.limit,
            self.running,
            self.limit - self.running,
        )


class FakeConfiguration(SideConfiguration):
    """One pool, active from the first update on."""

    def __init__(self, pool: Pool) -> None:
        self.revision = 0
        self._pool = pool

    def pool(self) -> Pool | None:
        """Return the pool once configured."""
        return self._pool if self.revision else None

    def apply(self, update: ConfigUpdate) -> bool:
        """Apply a newer revision."""
        newer = update.revision > self.revision
        self.revision = max(update.revision, self.revision)
        return newer

    def digest(self) -> ConfigDigest:
        """Return the digest of the revision."""
        return ConfigDigest(self.revision, f'digest {self.revision}')

    def update_for(self, peer: ConfigDigest) -> ConfigUpdate | None:
        """Send everything to a peer that is behind."""
        if peer.revision >= self.revision:
            return None
        return configured(self.revision)


def configured(revision: int) -> ConfigUpdate:
    row = ConfigObject('catalogue/pool/chart-api', revision, '{}', False)
    return ConfigUpdate(revision, (row,))
