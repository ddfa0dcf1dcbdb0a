"""Decides when a side may send load commands; no I/O, reads no clock.

The state chart ``lease`` defines the states. Times are seconds of the side's
own monotonic clock. Two rules prevent two holders from sending commands at
the same time, even at a backend server that ignores fencing tokens:

- a holder measures its lease from before its write began and stops a margin
  before the end;
- a successor measures the same duration from when it first read the lease,
  which is after that write, and waits a margin longer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from sardinetrack.charts.interpreter import ChartState, StateChart
from sardinetrack.lease.record import LeaseRecord

_NO_VERSION: Final = 0


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease as read from the platform."""

    version: int
    """0 when there is no lease object."""
    record: LeaseRecord | None


@dataclass(frozen=True, slots=True)
class Acquire:
    """Write the lease if the object still has the expected version."""

    expected_version: int
    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class WaitForExpiry:
    """Another holder may still send commands; read the lease again later."""

    seconds: float


class Lease:
    """State of the lease on a backend server, as its side knows it."""

    def __init__(
        self,
        holder: str,
        *,
        duration_seconds: float,
        margin_seconds: float,
    ) -> None:
        """Create the state of a lease that is not held.

        :param holder: identifies this incarnation of the process.
        :param duration_seconds: of a lease that this side acquires.
        :param margin_seconds: subtracted from the time that this side holds
            the lease, added to the time that it waits for another holder.
        """
        self._state: ChartState = StateChart.load('lease').start()
        self._holder = holder
        self._duration_seconds = duration_seconds
        self._margin_seconds = margin_seconds
        self._held_until: float = 0
        self._foreign_version = _NO_VERSION
        self._foreign_until: float = 0
        self.fencing_token = _NO_VERSION

    @property
    def state(self) -> str:
        """Current state on the state chart ``lease``."""
        return self._state.state

    def seconds_left(self, now: float) -> float:
        """Return how long commands may be sent; 0 if the lease is not held.

        Must be called immediately before each send: the process may have been
        paused for any time since the previous call.
        """
        if self.state != 'held':
            return 0
        if now >= self._held_until:
            self._state.fire('expire')
            return 0
        return self._held_until - now

    def plan_acquisition(
        self,
        now: float,
        observed: ObservedLease,
        *,
        checks_fencing: bool,
    ) -> Acquire | WaitForExpiry:
        """Return the next step to acquire a lease that is not held.

        :param observed: the lease as read from the platform.
        :param checks_fencing: the backend server refuses old fencing tokens,
            so that there is no need to wait for another holder.
        """
        self.seconds_left(now)
        foreign = (
            observed.record is not None
            and observed.record.holder != self._holder
        )
        if foreign and not checks_fencing:
            wait_seconds = self._wait_seconds(now, observed)
            if wait_seconds > 0:
                return WaitForExpiry(wait_seconds)
        term = observed.record.term if observed.record else 0
        record = LeaseRecord(self._holder, term + 1, self._duration_seconds)
        return Acquire(observed.version, record)

    def record_acquired(self, began_at: float, version: int) -> None:
        """Record that this side's write took effect.

        :param began_at: when the write began, not when its response arrived.
        :param version: of the lease object; the new fencing token.
        """
        if self.state == 'held':
            self._state.fire('renew')
        else:
            self._state.fire('acquire')
        self.fencing_token = version
        self._held_until = (
            began_at + self._duration_seconds - self._margin_seconds
        )

    def mark_superseded(self) -> None:
        """Record that another holder has the lease or has sent a command."""
        if self._state.allows('supersede'):
            self._state.fire('supersede')

    def _wait_seconds(self, now: float, observed: ObservedLease) -> float:
        assert observed.record is not None
        if observed.version != self._foreign_version:
            self._foreign_version = observed.version
            duration_seconds = observed.record.duration_seconds
            self._foreign_until = now + duration_seconds + self._margin_seconds
            self.mark_superseded()
            self._state.fire('foreign')
        left_seconds = self._foreign_until - now
        if left_seconds <= 0 and self._state.allows('waited_out'):
            self._state.fire('waited_out')
        return left_seconds
