"""Runs with an idempotency key: claimed before, settled after."""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Final

import anyio

from sardinetrack.entry.call import Call
from sardinetrack.entry.claims import (
    AlreadyFinished,
    AlreadyRunning,
    ClaimAnswer,
    Claimed,
    ClaimEnd,
    ClaimRequest,
    Claims,
    ClaimsDownError,
    Mismatch,
    OutcomeLost,
)
from sardinetrack.errors.api import AnsweredError, ErrorKind

_MARGIN_SECONDS: Final = 30.0
_LATEST_START_SECONDS: Final = 15.0
"""Less than the margin: the run still ends before the claim is lost."""
_SETTLE_SECONDS: Final = 0.25

_REFUSALS: Final = MappingProxyType(
    {
        AlreadyRunning: ErrorKind.IN_PROGRESS,
        AlreadyFinished: ErrorKind.ALREADY_FINISHED,
        OutcomeLost: ErrorKind.OUTCOME_UNKNOWN,
        Mismatch: ErrorKind.IDEMPOTENCY_MISMATCH,
    },
)

Run = Callable[[Callable[[bool], None]], Awaitable[None]]
"""Runs a call; tells each time whether it may have run so far."""


class _MayHaveRun:
    """What is known of one keyed run."""

    def __init__(self, start_by_seconds: float) -> None:
        """Nothing has run.

        :param start_by_seconds: last time at which an order may leave.
        """
        self.known = False
        self._start_by_seconds = start_by_seconds

    def note(self, may_have_run: bool) -> None:
        """Take in the newest knowledge.

        :raises AnsweredError: an order is about to leave, but too late.
        """
        # An entry that was frozen with a claimed request would start it after
        # its claim was taken for lost, beside the run of a later resend.
        late = anyio.current_time() > self._start_by_seconds
        if late and may_have_run and not self.known:
            raise AnsweredError(ErrorKind.NOT_RUN_DEADLINE)
        self.known = may_have_run


class KeyedRuns:
    """Lets at most one request with a key run, over the whole fleet."""

    def __init__(self, claims: Claims, wait_seconds: float) -> None:
        """Remember the record.

        :param wait_seconds: longest wait before a run.
        """
        self._claims = claims
        self._wait_seconds = wait_seconds

    async def run(self, call: Call, key: str, run: Run) -> None:
        """Claim the key, run, and settle the claim.

        :raises AnsweredError: the key is taken or can't be claimed, or the
            run failed.
        """
        may_have_run = _MayHaveRun(
            anyio.current_time() + self._wait_seconds + _LATEST_START_SECONDS,
        )
        claimed = await self._claim(call, key)
        end: ClaimEnd | None = ClaimEnd.UNKNOWN
        try:
            await run(may_have_run.note)
            end = ClaimEnd.FINISHED
        except AnsweredError as failure:
            end = _end_of(failure)
            raise
        finally:
            if not may_have_run.known:
                end = None
            await self._settle(claimed, end)

    async def _claim(self, call: Call, key: str) -> Claimed:
        request = ClaimRequest(
            workspace=call.workspace.name,
            key=key,
            request_hash=call.work.fingerprint,
            attempt_id=uuid.uuid4().hex,
            settled_within_seconds=(
                self._wait_seconds + call.pool.max_run_seconds + _MARGIN_SECONDS
            ),
        )
        try:
            answer = await self._claims.claim(request)
        except ClaimsDownError as error:
            raise AnsweredError(
                ErrorKind.NOT_RUN_PLATFORM_DOWN,
                retry_after_seconds=error.retry_after_seconds,
            ) from error
        return _claimed(answer)

    async def _settle(self, claimed: Claimed, end: ClaimEnd | None) -> None:
        # Shielded, because a vanished caller may resend and needs the truth;
        # bounded, because the answer must not wait for the platform. What is
        # not done by then goes on in the background of the claims.
        with anyio.move_on_after(_SETTLE_SECONDS, shield=True):
            if end is None:
                await self._claims.release(claimed)
            else:
                await self._claims.finish(claimed, end)


def _end_of(failure: AnsweredError) -> ClaimEnd:
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return ClaimEnd.UNKNOWN
    return ClaimEnd.FINISHED


def _claimed(answer: ClaimAnswer) -> Claimed:
    if isinstance(answer, Claimed):
        return answer
    raise AnsweredError(_REFUSALS[type(answer)])
