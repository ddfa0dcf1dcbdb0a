"""Handles the outcomes of attempts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.messages.api import Strike
from sardinetrack.routing.api import (
    AttemptOutcome,
    EntryEffect,
    SendToEntries,
)
from sardinetrack.routing.attempt import AttemptRecord, rejection_for
from sardinetrack.routing.pool import PoolRouter
from sardinetrack.routing.shared import SharedState
from sardinetrack.routing.strikes import STRIKE_TTL_SECONDS

INITIAL_EXCLUSION_SECONDS: Final = 0.1
MAX_EXCLUSION_SECONDS: Final = 2.0
"""Longest time that a side is excluded for a suspect it has refused."""


class OutcomeHandler:
    """Updates breakers and strikes; retries or rejects requests."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared

    def handle(
        self,
        now: float,
        pool: PoolRouter,
        attempt: AttemptRecord,
        end: AttemptOutcome,
        *,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        """Handle the outcome of an attempt.

        :param now: monotonic time.
        :param pool: of the attempt; it has settled the charge.
        :param attempt: the attempt, already removed from the pool.
        :param end: how it ended.
        :param answered: part of the response was sent to the caller.
        :return: a retry, a rejection, or nothing.
        """
        breaker = self._shared.breaker(attempt.backend_server)
        if end in {AttemptOutcome.COMPLETED, AttemptOutcome.ABANDONED}:
            pool.open_requests -= 1
        if end is AttemptOutcome.COMPLETED:
            breaker.request_succeeded(attempt.generation)
            return [
                *self._clear_strikes(attempt),
                *self._reuse_slot(now, pool, attempt),
            ]
        if end is AttemptOutcome.NOT_STARTED:
            breaker.request_inconclusive(attempt.generation)
            return self._requeue(now, pool, attempt)
        if end is AttemptOutcome.ABANDONED:
            breaker.request_inconclusive(attempt.generation)
            return pool.dispatch_ready(now)
        breaker.request_failed(now, attempt.generation)
        return self._handle_failure(now, pool, attempt, end, answered=answered)

    def _clear_strikes(self, attempt: AttemptRecord) -> Sequence[EntryEffect]:
        """Clear the strikes of a request that completed, at all entries.

        Another entry would count a crash that the request did not cause
        together with the next one, and reject the request for minutes.
        """
        fingerprint = attempt.queued.work.fingerprint
        cleared = self._shared.strikes.clear(fingerprint)
        return [SendToEntries(strike) for strike in cleared]

    def _reuse_slot(
        self,
        now: float,
        pool: PoolRouter,
        attempt: AttemptRecord,
    ) -> Sequence[EntryEffect]:
        """Count the freed slot as free unless queued requests will get it."""
        side = pool.sides.find(attempt.side)
        contended = any(True for _ in pool.ledger.backlogged())
        if side is not None and not contended and side.free < side.limit:
            side.free += 1
        return pool.attempt_settled(now, attempt.queued.work.workspace)

    def _requeue(
        self,
        now: float,
        pool: PoolRouter,
        attempt: AttemptRecord,
    ) -> Sequence[EntryEffect]:
        queued = attempt.queued
        side = pool.sides.find(attempt.side)
        if attempt.suspect:
            # The side may have free slots for others and run another suspect.
            queued.suspect_refusals += 1
            delay = INITIAL_EXCLUSION_SECONDS * 2 ** (
                queued.suspect_refusals - 1
            )
            until = now + min(delay, MAX_EXCLUSION_SECONDS)
            queued.excluded_until[attempt.side] = until
        elif side is not None:
            side.free = 0
        if queued.work.deadline_seconds <= now:
            pool.open_requests -= 1
            return (rejection_for(queued, ErrorKind.NOT_RUN_DEADLINE),)
        return pool.enqueue(now, queued, at_front=True)

    def _handle_failure(
        self,
        now: float,
        pool: PoolRouter,
        attempt: AttemptRecord,
        end: AttemptOutcome,
        *,
        answered: bool,
    ) -> Sequence[EntryEffect]:
        effects: list[EntryEffect] = []
        queued = attempt.queued
        queued.previous_error = ErrorKind.OUTCOME_UNKNOWN
        if end is AttemptOutcome.FAILED:
            queued.previous_error = ErrorKind.SERVER_FAILED
            effects.extend(self._record_strike(now, attempt))
        if answered:
            queued.previous_error = ErrorKind.ANSWER_CUT
        fingerprint = queued.work.fingerprint
        strikes = self._shared.strikes
        retry = queued.work.idempotent and not answered
        retry = retry and not strikes.blocked_seconds(now, fingerprint)
        if retry and self._shared.retries.try_withdraw():
            queued.failed_sides |= {attempt.side}
            effects.extend(pool.enqueue(now, queued, at_front=True))
            return effects
        pool.open_requests -= 1
        effects.append(rejection_for(queued, queued.previous_error))
        effects.extend(pool.dispatch_ready(now))
        return effects

    def _record_strike(
        self, now: float, attempt: AttemptRecord
    ) -> Sequence[EntryEffect]:
        """Record a strike against a request whose server failed.

        An unknown outcome gives no strike: a network partition ends all
        attempts behind it that way, and innocent requests would be blocked.
        """
        fingerprint = attempt.queued.work.fingerprint
        if not fingerprint:
            return ()
        strike = Strike(
            fingerprint,
            attempt.backend_server,
            STRIKE_TTL_SECONDS,
            self._shared.strike_sync.next_number(),
        )
        attempt.queued.strike_number = strike.number
        self._shared.strikes.add(now, strike)
        return (SendToEntries(strike),)
