"""Holds answers back until other entries know of a crash."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from sardinetrack.routing.api import EntryEffect, Held, HoldReason, Reject

MOST_HELD_SECONDS: Final = 4.0
"""Longer than a link is silent before it counts as down."""


@dataclass(frozen=True, slots=True)
class _Answer:
    reject: Reject
    until_seconds: float


class CrashNews:
    """Knows which linked entries have yet to note the strikes told to them.

    A caller whose request crashed a server turns to another entry as soon as
    it is answered. An entry that has not heard of the crash would let the
    request take down the next server, so the answer waits for all entries
    that are linked. One that is cut off is not waited for.
    """

    def __init__(self) -> None:
        """Start with no entry linked."""
        self._told = 0
        self._noted: dict[str, int] = {}
        self._least: dict[str, int] = {}
        self._answers: list[_Answer] = []

    def next_number(self) -> int:
        """Number a strike that is about to be told."""
        self._told += 1
        return self._told

    def linked(self, entry: str, number: int) -> None:
        """Wait for an entry that has linked.

        :param entry: the other entry.
        :param number: of the last strike that it is told at once; 0 for none.
        """
        self._noted[entry] = 0 if number else self._told
        self._least[entry] = number

    def lost(self, entry: str) -> None:
        """Wait for an entry no more."""
        self._noted.pop(entry, None)
        self._least.pop(entry, None)

    def note(self, entry: str, number: int) -> None:
        """Take in that an entry knows of all strikes up to a number."""
        known = self._noted.get(entry)
        if known is not None:
            self._noted[entry] = max(known, number)

    def answer(self, now: float, reject: Reject) -> Sequence[EntryEffect]:
        """Let an answer go, or hold it back.

        :param now: monotonic time.
        :param reject: names the strike that the others must know of.
        :return: the answer, or why it waits.
        """
        unaware = self._unaware(reject.strike)
        if not unaware:
            return (replace(reject, strike=0),)
        self._answers.append(_Answer(reject, now + MOST_HELD_SECONDS))
        return (self._held(reject, HoldReason.CRASH_NEWS, unaware),)

    def due(self, now: float) -> Sequence[EntryEffect]:
        """Let those answers go that need wait no longer.

        :param now: monotonic time.
        :return: the answers, each after a note if some entry is unaware.
        """
        effects: list[EntryEffect] = []
        waiting: list[_Answer] = []
        for answer in self._answers:
            unaware = self._unaware(answer.reject.strike)
            if unaware and now < answer.until_seconds:
                waiting.append(answer)
                continue
            if unaware:
                late = HoldReason.CRASH_UNKNOWN
                effects.append(self._held(answer.reject, late, unaware))
            effects.append(replace(answer.reject, strike=0))
        self._answers = waiting
        return effects

    def _unaware(self, strike: int) -> tuple[str, ...]:
        return tuple(
            sorted(
                entry
                for entry, noted in self._noted.items()
                if noted < max(strike, self._least[entry])
            ),
        )

    def _held(
        self,
        reject: Reject,
        reason: HoldReason,
        entries: tuple[str, ...],
    ) -> Held:
        return Held(reject.request_id, reason, (), entries, 0)
