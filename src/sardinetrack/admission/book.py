"""The side's record of attempts: the only judge of what was started."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from sardinetrack.messages.run import Fate

KEEP_SECONDS: Final = 900.0
"""How long an ended attempt is remembered; entries ask much sooner."""
MAX_ENDED: Final = 65_536


class AttemptState(StrEnum):
    """Where an attempt stands at the side."""

    HELD = 'held'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    TOMBSTONED = 'tombstoned'


_FATES: Final = MappingProxyType(
    {
        AttemptState.HELD: Fate.NOT_STARTED,
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

    def state(self, attempt_id: str) -> AttemptState | None:
        """Find the state of an attempt; ``None`` for an unseen one."""
        live = self._live.get(attempt_id)
        if live is not None:
            return live
        ended = self._ended.get(attempt_id)
        return None if ended is None else ended.state

    def put(self, attempt_id: str, state: AttemptState) -> None:
        """Record a held or running attempt."""
        self._live[attempt_id] = state

    def end(self, now: float, attempt_id: str, state: AttemptState) -> None:
        """Record an attempt that never runs again.

        :param now: monotonic time.
        :param attempt_id: the attempt.
        :param state: finished, failed, stopped or tombstoned.
        """
        self._live.pop(attempt_id, None)
        self._ended[attempt_id] = _Ended(state, now)
        if len(self._ended) > self._max_ended:
            _, oldest = self._ended.popitem(last=False)
            forgotten_until = oldest.ended_seconds + KEEP_SECONDS
            self._blind_until_seconds = max(
                self._blind_until_seconds,
                forgotten_until,
            )

    def ask(self, now: float, attempt_id: str) -> Fate:
        """Tell a fate; an unseen attempt is tombstoned.

        A record pushed out by newer ones may be of an attempt that ran, so
        nothing unseen is called "not started" until its age would have
        ended it anyway.

        :param now: monotonic time.
        :param attempt_id: the attempt.
        :return: its fate, binding when it is not started.
        """
        state = self.state(attempt_id)
        if state is None:
            self.end(now, attempt_id, AttemptState.TOMBSTONED)
            if now < self._blind_until_seconds:
                return Fate.UNKNOWN
            return Fate.NOT_STARTED
        return _FATES[state]

    def forget(self, now: float) -> None:
        """Drop records that are too old to be asked for."""
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.ended_seconds + KEEP_SECONDS > now:
                return
            self._ended.popitem(last=False)
