"""The side's record of attempts: the only judge of what was started."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from sardinetrack.charts.typed import TypedChart
from sardinetrack.messages.run import Fate

KEEP_SECONDS: Final = 900.0
"""How long an ended attempt is remembered; entries ask much sooner."""
MAX_ENDED: Final = 65_536


class AttemptState(StrEnum):
    """Where an attempt stands at the side."""

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


_CHART: Final = TypedChart('attempt', AttemptState, AttemptEvent)
_LIVE: Final = frozenset((AttemptState.HELD, AttemptState.RUNNING))
_FATES: Final = MappingProxyType(
    {
        AttemptState.RUNNING: Fate.RUNNING,
        AttemptState.FINISHED: Fate.FINISHED,
        AttemptState.FAILED: Fate.FAILED,
        AttemptState.STOPPED: Fate.STOPPED,
        AttemptState.TOMBSTONED: Fate.NOT_STARTED,
    }
)


@dataclass(frozen=True, slots=True)
class _Ended:
    state: AttemptState
    ended_seconds: float


class AttemptBook:
    """States of attempts, bounded in number and age."""

    def __init__(self, max_ended: int = MAX_ENDED) -> None:
        """Start empty.

        :param max_ended: ended attempts remembered at most.
        """
        self._max_ended = max_ended
        self._live: dict[str, AttemptState] = {}
        self._ended: OrderedDict[str, _Ended] = OrderedDict()
        self._blind_until_seconds = float('-inf')

    def state(self, attempt_id: str) -> AttemptState:
        """Find the state of an attempt."""
        live = self._live.get(attempt_id)
        if live is not None:
            return live
        ended = self._ended.get(attempt_id)
        return _CHART.initial if ended is None else ended.state

    def note(self, now: float, attempt_id: str, event: AttemptEvent) -> None:
        """Move an attempt along its chart.

        :param now: monotonic time.
        :param attempt_id: the attempt.
        :param event: what happened to it.
        :raises IllegalEventError: it can't happen to it any more.
        """
        before = self.state(attempt_id)
        after = _CHART.after(before, event)
        if after in _LIVE:
            self._live[attempt_id] = after
        elif after is not before:
            self._end(now, attempt_id, after)

    def ask(self, now: float, attempt_id: str) -> Fate:
        """Tell a fate; an attempt that was not started never will be.

        A record pushed out by newer ones may be of an attempt that ran, so
        nothing unseen is called "not started" until its age would have
        ended it anyway.

        :param now: monotonic time.
        :param attempt_id: the attempt.
        :return: its fate, binding when it is not started.
        """
        unseen = self.state(attempt_id) is AttemptState.UNSEEN
        self.note(now, attempt_id, AttemptEvent.ASK)
        if unseen and now < self._blind_until_seconds:
            return Fate.UNKNOWN
        return _FATES[self.state(attempt_id)]

    def forget(self, now: float) -> None:
        """Drop records that are too old to be asked for."""
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
            forgotten_until = oldest.ended_seconds + KEEP_SECONDS
            self._blind_until_seconds = max(
                self._blind_until_seconds,
                forgotten_until,
            )
