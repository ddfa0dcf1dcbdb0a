"""The side's record of attempts: only it decides what was started."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from sardinetrack.charts.typed import TypedStateChart
from sardinetrack.messages.run import AttemptStatus

KEEP_SECONDS: Final = 900.0
"""How long an ended attempt is kept; entries query its status much sooner."""
MAX_ENDED: Final = 65_536


class AttemptState(StrEnum):
    """State of an attempt at the side."""

    UNSEEN = 'unseen'
    HELD = 'held'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    TOMBSTONED = 'tombstoned'


class AttemptEvent(StrEnum):
    """What happens to an attempt."""

    ARRIVE = 'arrive'
    REFUSE = 'refuse'
    ASK = 'ask'
    START = 'start'
    FINISH = 'finish'
    FAIL = 'fail'
    STOP = 'stop'


_CHART: Final = TypedStateChart('attempt', AttemptState, AttemptEvent)
_LIVE: Final = frozenset((AttemptState.HELD, AttemptState.RUNNING))
_STATUSES: Final = MappingProxyType(
    {
        AttemptState.RUNNING: AttemptStatus.RUNNING,
        AttemptState.FINISHED: AttemptStatus.FINISHED,
        AttemptState.FAILED: AttemptStatus.FAILED,
        AttemptState.STOPPED: AttemptStatus.STOPPED,
        AttemptState.TOMBSTONED: AttemptStatus.NOT_STARTED,
    }
)


@dataclass(frozen=True, slots=True)
class _Ended:
    state: AttemptState
    ended_seconds: float


class AttemptRegistry:
    """States of attempts, limited in number and age."""

    def __init__(self, max_ended: int = MAX_ENDED) -> None:
        """Create an empty registry.

        :param max_ended: maximum number of ended attempts to keep.
        """
        self._max_ended = max_ended
        self._live: dict[str, AttemptState] = {}
        self._ended: OrderedDict[str, _Ended] = OrderedDict()
        self._incomplete_until_seconds = float('-inf')

    def state(self, attempt_id: str) -> AttemptState:
        """Return the state of an attempt."""
        live = self._live.get(attempt_id)
        if live is not None:
            return live
        ended = self._ended.get(attempt_id)
        return _CHART.initial if ended is None else ended.state

    def apply(self, now: float, attempt_id: str, event: AttemptEvent) -> None:
        """Move an attempt along its state chart.

        :param now: monotonic time.
        :param attempt_id: the attempt.
        :param event: what happened to it.
        :raises IllegalEventError: its state has no transition for the event.
        """
        before = self.state(attempt_id)
        after = _CHART.after(before, event)
        if after in _LIVE:
            self._live[attempt_id] = after
        elif after is not before:
            self._end(now, attempt_id, after)

    def final_status(self, now: float, attempt_id: str) -> AttemptStatus:
        """Return the status; an attempt that has not started never will.

        A record evicted by newer ones may be of an attempt that ran, so no
        unseen attempt is reported as "not started" until the evicted record
        would have expired by age.

        :param now: monotonic time.
        :param attempt_id: the attempt.
        :return: its status; if it is not started, that is final.
        """
        unseen = self.state(attempt_id) is AttemptState.UNSEEN
        self.apply(now, attempt_id, AttemptEvent.ASK)
        if unseen and now < self._incomplete_until_seconds:
            return AttemptStatus.UNKNOWN
        return _STATUSES[self.state(attempt_id)]

    def drop_expired(self, now: float) -> None:
        """Drop records too old for a status query."""
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.ended_seconds + KEEP_SECONDS > now:
                return
            self._ended.popitem(last=False)

    def _end(self, now: float, attempt_id: str, state: AttemptState) -> None:
        self._live.pop(attempt_id, None)
        self._ended[attempt_id] = _Ended(state, now)
        if len(self._ended) > self._max_ended:
            _, oldest = self._ended.popitem(last=False)
            evicted_until = oldest.ended_seconds + KEEP_SECONDS
            self._incomplete_until_seconds = max(
                self._incomplete_until_seconds,
                evicted_until,
            )
