"""The requests at an engine, and what they hold: slots and memory."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.ask import Ask
from sardinetrack.admission.batch import BatchBound
from sardinetrack.admission.holding import SlotHolding
from sardinetrack.fairness.recent import HALF_SECONDS, RecentService

MEMORY_PART: Final = 0.72
"""Part of an engine's memory given to the own tokens of requests.

The rest holds the shared parts in use; when memory runs out the newest
request is read again from the start.
"""
_ENGINE: Final = ''


@dataclass(slots=True)
class Running:
    """One request that was granted."""

    ask: Ask
    granted_seconds: float
    expected_seconds: float
    """Until its first event, as expected when it was granted."""
    begun_seconds: float | None = None
    """When its first event came."""


class RunningRequests:
    """Counts slots and memory, and learns how long requests hold them."""

    def __init__(self, slots: int, memory_tokens: int) -> None:
        """Start empty."""
        self.batch = BatchBound()
        self._holding = SlotHolding()
        self._turnover = RecentService[str]()
        self._running: dict[str, Running] = {}
        self._kept_tokens = 0
        self.resize(slots, memory_tokens)

    def resize(self, slots: int, memory_tokens: int) -> None:
        """Take over the engine's size."""
        self._slots = slots
        self._memory_tokens = memory_tokens

    def __len__(self) -> int:
        """Count the requests."""
        return len(self._running)

    def __contains__(self, ask_id: str) -> bool:
        """Whether a request is here."""
        return ask_id in self._running

    @property
    def most(self) -> int:
        """Tell how many may be here at once."""
        return self.batch.most(self._slots)

    @property
    def slots_left(self) -> int:
        """Count the free slots."""
        return max(0, self.most - len(self._running))

    @property
    def held_seconds(self) -> float:
        """Mean time that a request holds its slot; 0 until one has ended."""
        return self._holding.seconds

    def slot_seconds(self, before: int) -> float:
        """Estimate how long a request waits for a slot.

        Of an engine with few slots these run out before its reading does; a
        request that waits for one would be told that its turn is next.

        :param before: requests that get a slot before it.
        """
        short = before + 1 - self.slots_left
        if short <= 0:
            return 0
        return short * self.held_seconds / self.most

    def hold_seconds(self, now: float) -> float:
        """Estimate how long the engine keeps a part after its last use.

        It drops what was used longest ago when new tokens need the room that
        running requests leave.
        """
        free_tokens = max(0, self._memory_tokens - self._kept_tokens)
        lately = self._turnover.tokens(now, _ENGINE)
        rate_tokens = lately * math.log(2) / HALF_SECONDS
        if rate_tokens <= 0:
            return math.inf
        return free_tokens / rate_tokens

    def has_memory(self, ask: Ask) -> bool:
        """Whether what a request adds to the memory fits into it."""
        kept = self._kept_tokens + ask.kept_tokens
        return kept <= self._memory_tokens * MEMORY_PART

    def add(self, now: float, ask: Ask, expected_seconds: float) -> None:
        """Take in a request that is granted."""
        self._running[ask.ask_id] = Running(ask, now, expected_seconds)
        self._turnover.add(now, _ENGINE, ask.kept_tokens)
        self._kept_tokens += ask.kept_tokens

    def begun(self, now: float, ask_id: str) -> Running | None:
        """Note a first event.

        :return: its request; ``None`` if it is not here, or had one before.
        """
        running = self._running.get(ask_id)
        if running is None or running.begun_seconds is not None:
            return None
        running.begun_seconds = now
        return running

    def ended(self, now: float, ask_id: str, *, whole: bool) -> bool:
        """Free what a request held.

        :param whole: its caller has all of the answer.
        :return: whether it was here.
        """
        running = self._running.pop(ask_id, None)
        if running is None:
            return False
        self._kept_tokens -= running.ask.kept_tokens
        if running.begun_seconds is not None:
            self._holding.ended(now - running.granted_seconds)
            if whole:
                wrote_seconds = now - running.begun_seconds
                self.batch.wrote(wrote_seconds, running.ask.answer_tokens)
        return True

    def clear(self) -> None:
        """Forget all of them: their engine is gone."""
        self._running.clear()
        self._kept_tokens = 0
