"""Runs requests with an idempotency key: claimed before, settled after."""

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
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimStore,
    ClaimStoreUnavailableError,
    OutcomeUnknown,
    RequestMismatch,
)
from sardinetrack.errors.api import ErrorKind, RequestError

_MARGIN_SECONDS: Final = 30.0
_LATEST_START_SECONDS: Final = 15.0
"""Less than the margin: the run still ends before its claim expires."""
_SETTLE_SECONDS: Final = 0.25

_REFUSALS: Final = MappingProxyType(
    {
        AlreadyRunning: ErrorKind.IN_PROGRESS,
        AlreadyFinished: ErrorKind.ALREADY_FINISHED,
        OutcomeUnknown: ErrorKind.OUTCOME_UNKNOWN,
        RequestMismatch: ErrorKind.IDEMPOTENCY_MISMATCH,
    },
)

Run = Callable[[Callable[[bool], None]], Awaitable[None]]
"""Runs a call; reports each time whether it may have run so far."""


class _RunState:
    """Whether one request with a key may have run."""

    def __init__(self, start_by_seconds: float) -> None:
        """Start with a request that has not run.

        :param start_by_seconds: deadline for sending a run request, on the
            event loop's clock.
        """
        self.possibly_started = False
        self._start_by_seconds = start_by_seconds

    def update(self, may_have_run: bool) -> None:
        """Update whether the request may have run.

        :raises RequestError: a run request is about to be sent after the
            deadline.
        """
        # An entry that was suspended while it held a claim could otherwise
        # start the request after the claim was considered lost, at the same
        # time as a later resend.
        late = anyio.current_time() > self._start_by_seconds
        if late and may_have_run and not self.possibly_started:
            raise RequestError(ErrorKind.NOT_RUN_DEADLINE)
        self.possibly_started = may_have_run


class IdempotentRuns:
    """Runs at most one request for each key, across the whole fleet."""

    def __init__(self, claims: ClaimStore, wait_seconds: float) -> None:
        """Set the claim store.

        :param claims: stores the claims.
        :param wait_seconds: maximum wait before a run.
        """
        self._claims = claims
        self._wait_seconds = wait_seconds

    async def run(self, call: Call, key: str, run: Run) -> None:
        """Claim the key, run the call, and settle the claim.

        :param call: the request to run.
        :param key: its idempotency key.
        :param run: runs the call.
        :raises RequestError: the key is taken or can't be claimed, or the run
            failed.
        """
        state = _RunState(
            anyio.current_time() + self._wait_seconds + _LATEST_START_SECONDS,
        )
        claimed = await self._claim(call, key)
        end: ClaimOutcome | None = ClaimOutcome.UNKNOWN
        try:
            await run(state.update)
            end = ClaimOutcome.FINISHED
        except RequestError as failure:
            end = _outcome_of(failure)
            raise
        finally:
            if not state.possibly_started:
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
            claim_result = await self._claims.claim(request)
        except ClaimStoreUnavailableError as error:
            raise RequestError(
                ErrorKind.NOT_RUN_PLATFORM_DOWN,
                retry_after_seconds=error.retry_after_seconds,
            ) from error
        return _require_claimed(claim_result)

    async def _settle(self, claimed: Claimed, end: ClaimOutcome | None) -> None:
        # Shielded, because a caller that disconnected may resend the request
        # and needs the correct outcome; bounded, because the response must not
        # wait for the platform. An unfinished write continues in the
        # background of the claim store.
        with anyio.move_on_after(_SETTLE_SECONDS, shield=True):
            if end is None:
                await self._claims.release(claimed)
            else:
                await self._claims.finish(claimed, end)


def _outcome_of(failure: RequestError) -> ClaimOutcome:
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return ClaimOutcome.UNKNOWN
    return ClaimOutcome.FINISHED


def _require_claimed(claim_result: ClaimResult) -> Claimed:
    if isinstance(claim_result, Claimed):
        return claim_result
    raise RequestError(_REFUSALS[type(claim_result)])
