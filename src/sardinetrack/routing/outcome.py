"""What follows from the end of an attempt."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import Strike
from sardinetrack.routing.api import (
    AttemptEnd,
    EntryEffect,
    SendToEntries,
)
from sardinetrack.routing.attempt import Attempt, give_up
from sardinetrack.routing.pool import PoolRouter
from sardinetrack.routing.shared import Shared
from sardinetrack.routing.strikes import STRIKE_SECONDS

FIRST_CLOSED_SECONDS: Final = 0.1
MOST_CLOSED_SECONDS: Final = 2.0
"""Longest time that a side stays closed to a suspect it has refused."""


class Outcome:
    """Settles attempts: breakers, strikes, retries, answers."""

    def __init__(self, shared: Shared) -> None:
        """Use the breakers, strikes and retries of the entry."""
        self._shared = shared

    def ended(
        self,
        now: float,
        pool: PoolRouter,
        attempt: Attempt,
        end: AttemptEnd,
        *,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        """Decide what follows.

        :param now: monotonic time.
        :param pool: where the attempt ran; its charge is settled.
        :param attempt: the attempt, no longer listed by the pool.
        :param end: how it ended.
        :param answered: some of the answer went to the caller.
        :return: a retry, an answer, or nothing.
        """
        breaker = self._shared.breaker(attempt.backend_server)
        if end in {AttemptEnd.WHOLE, AttemptEnd.ABANDONED}:
            pool.open_requests -= 1
        if end is AttemptEnd.WHOLE:
            breaker.succeeded(attempt.generation)
            return [
                *self._cleared(attempt),
                *self._freed(now, pool, attempt),
            ]
        if end is AttemptEnd.NOT_STARTED:
            breaker.undecided(attempt.generation)
            return self._again(now, pool, attempt)
        if end is AttemptEnd.ABANDONED:
            breaker.undecided(attempt.generation)
            return pool.pump(now)
        breaker.failed(now, attempt.generation)
        return self._failed(now, pool, attempt, end, answered=answered)

    def _cleared(self, attempt: Attempt) -> Sequence[EntryEffect]:
        """Clear a request that ran to its end, at all entries.

        Another entry would count the crash that it was innocent of together
        with the next one, and refuse it for minutes.
        """
        fingerprint = attempt.waiting.work.fingerprint
        cleared = self._shared.strikes.clear(fingerprint)
        return [SendToEntries(strike) for strike in cleared]

    def _freed(
        self,
        now: float,
        pool: PoolRouter,
        attempt: Attempt,
    ) -> Sequence[EntryEffect]:
        """Believe in the freed slot unless waiting work will get it."""
        side = pool.sides.find(attempt.side)
        contended = any(True for _ in pool.ledger.backlogged())
        if side is not None and not contended and side.free < side.limit:
            side.free += 1
        return pool.reopened(now, attempt.waiting.work.workspace)

    def _again(
        self,
        now: float,
        pool: PoolRouter,
        attempt: Attempt,
    ) -> Sequence[EntryEffect]:
        waiting = attempt.waiting
        side = pool.sides.find(attempt.side)
        if attempt.suspect:
            # The side may have room for others and run another suspect.
            waiting.refusals += 1
            pause = FIRST_CLOSED_SECONDS * 2 ** (waiting.refusals - 1)
            until = now + min(pause, MOST_CLOSED_SECONDS)
            waiting.closed_until[attempt.side] = until
        elif side is not None:
            side.free = 0
        if waiting.work.deadline_seconds <= now:
            pool.open_requests -= 1
            return (give_up(waiting, ErrorKind.NOT_RUN_DEADLINE),)
        return pool.enqueue(now, waiting, first=True)

    def _failed(
        self,
        now: float,
        pool: PoolRouter,
        attempt: Attempt,
        end: AttemptEnd,
        *,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        effects: list[EntryEffect] = []
        waiting = attempt.waiting
        waiting.ran = ErrorKind.OUTCOME_UNKNOWN
        if end is AttemptEnd.FAILED:
            waiting.ran = ErrorKind.SERVER_FAILED
            effects.extend(self._strike(now, attempt))
        if answered:
            waiting.ran = ErrorKind.ANSWER_CUT
        fingerprint = waiting.work.fingerprint
        strikes = self._shared.strikes
        retry = waiting.work.idempotent and not answered
        retry = retry and not strikes.condemned_seconds(now, fingerprint)
        if retry and self._shared.retries.take():
            waiting.avoid |= {attempt.side}
            effects.extend(pool.enqueue(now, waiting, first=True))
            return effects
        pool.open_requests -= 1
        effects.append(give_up(waiting, waiting.ran))
        effects.extend(pool.pump(now))
        return effects

    def _strike(self, now: float, attempt: Attempt) -> Sequence[EntryEffect]:
        """Strike a request that ran while its server failed.

        An end that nobody knows gives no strike: a partition ends all that
        runs behind it so, and would condemn innocent requests.
        """
        fingerprint = attempt.waiting.work.fingerprint
        if not fingerprint:
            return ()
        strike = Strike(
            fingerprint,
            attempt.backend_server,
            STRIKE_SECONDS,
            self._shared.news.next_number(),
        )
        attempt.waiting.strike = strike.number
        self._shared.strikes.add(now, strike)
        return (SendToEntries(strike),)
