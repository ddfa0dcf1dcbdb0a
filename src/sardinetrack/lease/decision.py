"""Decides when a side may give orders; no I/O, reads no clock.

The chart ``lease`` names the states. Times are the side's own monotonic
seconds. Two facts keep two holders from ordering at once, also at a backend
server that ignores fencing numbers:

- a holder counts its lease from before its write began and stops a margin
  before the end;
- a successor counts the same duration from when it first saw the lease, which
  is after that write, and waits a margin longer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from sardinetrack.charts.interpreter import Chart, ChartState
from sardinetrack.lease.record import LeaseRecord

_NO_VERSION: Final = 0


@dataclass(frozen=True, slots=True)
class SeenLease:
    """A lease as it was read."""

    version: int
    """0 when there is none yet."""
    record: LeaseRecord | None


@dataclass(frozen=True, slots=True)
class Acquire:
    """Write the lease now, on condition of a version."""

    expected_version: int
    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class WaitOut:
    """Another holder may still act; look again later."""

    seconds: float


class Lease:
    """One side's view of the lease on its backend server."""

    def __init__(
        self,
        holder: str,
        *,
        duration_seconds: float,
        margin_seconds: float,
    ) -> None:
        """Start without a lease.

        :param holder: names this life of the process.
        :param margin_seconds: stop so much before, wait so much longer.
        """
        self._state: ChartState = Chart.load('lease').start()
        self._holder = holder
        self._duration_seconds = duration_seconds
        self._margin_seconds = margin_seconds
        self._held_until: float = 0
        self._foreign_version = _NO_VERSION
        self._foreign_until: float = 0
        self.fencing = _NO_VERSION

    @property
    def state(self) -> str:
        """Where the lease stands on its chart."""
        return self._state.state

    def seconds_left(self, now: float) -> float:
        """Tell how long orders may be sent; 0 for not at all.

        To be asked just before each send: the process may have been paused
        for any time since it was asked before.
        """
        if self.state != 'held':
            return 0
        if now >= self._held_until:
            self._state.fire('expire')
            return 0
        return self._held_until - now

    def seek(
        self,
        now: float,
        seen: SeenLease,
        *,
        checks_fencing: bool,
    ) -> Acquire | WaitOut:
        """Decide what to do about a lease that is wanted and not held.

        :param seen: what stands in the platform.
        :param checks_fencing: the backend server refuses old numbers, so that
            nobody needs to be waited for.
        """
        self.seconds_left(now)
        foreign = seen.record is not None and seen.record.holder != self._holder
        if foreign and not checks_fencing:
            wait_seconds = self._wait_seconds(now, seen)
            if wait_seconds > 0:
                return WaitOut(wait_seconds)
        term = seen.record.term if seen.record else 0
        record = LeaseRecord(self._holder, term + 1, self._duration_seconds)
        return Acquire(seen.version, record)

    def acquired(self, began_at: float, version: int) -> None:
        """Note that one's own write took effect.

        :param began_at: when the write was begun, not when it was answered.
        :param version: of the lease object; the fencing number from now on.
        """
        if self.state == 'held':
            self._state.fire('renew')
        else:
            self._state.fire('acquire')
        self.fencing = version
        self._held_until = (
            began_at + self._duration_seconds - self._margin_seconds
        )

    def superseded(self) -> None:
        """Note that another holder has been seen or has ordered."""
        if self._state.allows('supersede'):
            self._state.fire('supersede')

    def _wait_seconds(self, now: float, seen: SeenLease) -> float:
        assert seen.record is not None
        if seen.version != self._foreign_version:
            self._foreign_version = seen.version
            duration_seconds = seen.record.duration_seconds
            self._foreign_until = now + duration_seconds + self._margin_seconds
            self.superseded()
            self._state.fire('foreign')
        left_seconds = self._foreign_until - now
        if left_seconds <= 0 and self._state.allows('waited_out'):
            self._state.fire('waited_out')
        return left_seconds
