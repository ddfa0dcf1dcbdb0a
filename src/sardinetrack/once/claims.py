"""Claims of idempotency keys as one object each in the platform."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import anyio

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
from sardinetrack.once.record import (
    ClaimRecord,
    ClaimState,
    claim_key,
    read_record,
    write_record,
)
from sardinetrack.once.settler import Settlement, Settler
from sardinetrack.platform.api import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
    ThrottledError,
    UncertainError,
)

KEEP_SECONDS: Final = 86_400.0
_CLAIM_SECONDS: Final = 3.0
_TRIES: Final = 4
_PAUSE_SECONDS: Final = 0.1


class PlatformClaims(Claims):
    """Conditional writes make the claim; nothing is kept in the process.

    Of all entries that try to create a key's object only one succeeds, so at
    most one of them runs the request, through any partition or restart.
    """

    def __init__(
        self,
        platform: Platform,
        settler: Settler,
        *,
        keep_seconds: float = KEEP_SECONDS,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Remember the platform.

        :param settler: writes the ends of claims.
        :param keep_seconds: how long a record outlives its request.
        :param wall_clock: seconds since the epoch, about equal everywhere.
        """
        self._platform = platform
        self._settler = settler
        self._keep_seconds = keep_seconds
        self._wall_clock = wall_clock

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key before its request is dispatched."""
        try:
            with anyio.fail_after(_CLAIM_SECONDS):
                return await self._claim(request)
        except (UncertainError, TimeoutError) as error:
            # The claim may stand although nothing will run under it: it is
            # taken back, or the caller's resend would find it for hours.
            self._settler.post(self._settlement(request, 0, None))
            raise ClaimsDownError from error
        except ThrottledError as error:
            raise ClaimsDownError(error.retry_after_seconds) from error
        except PlatformError as error:
            raise ClaimsDownError from error

    async def finish(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Record the end of a request that ran or may have run."""
        record = self._record(claimed.claim, ClaimState(end.value))
        await self._settler.settle(
            self._settlement(claimed.claim, claimed.version, record),
        )

    async def release(self, claimed: Claimed) -> None:
        """Delete the claim of a request that surely did not run."""
        await self._settler.settle(
            self._settlement(claimed.claim, claimed.version, None),
        )

    async def _claim(self, request: ClaimRequest) -> ClaimAnswer:
        expected_version = 0
        for _ in range(_TRIES):
            found = await self._write(request, expected_version)
            answer = self._judge(request, found)
            if answer is not None:
                return answer
            expected_version = _version(found)
            await anyio.sleep(_PAUSE_SECONDS)
        raise UncertainError('the claim kept changing')

    async def _write(
        self,
        request: ClaimRequest,
        expected_version: int,
    ) -> StoredObject | None:
        """Try to create the claim; return what stands there then."""
        record = self._record(request, ClaimState.RUNNING)
        key = claim_key(request.workspace, request.key)
        try:
            return await self._platform.put(
                key,
                write_record(record),
                expected_version=expected_version,
            )
        except ConflictError as error:
            return error.current
        except UncertainError:
            # The write may have taken effect while its reply was lost. The
            # attempt's own id in what stands there settles it.
            return await self._platform.get(key)

    def _judge(
        self,
        request: ClaimRequest,
        found: StoredObject | None,
    ) -> ClaimAnswer | None:
        """Return ``None`` when the key is free and may be tried again."""
        if found is None or found.deleted:
            return None
        record = read_record(found.value)
        if record is None:
            return OutcomeLost()
        if record.attempt_id == request.attempt_id:
            return Claimed(request, found.version)
        now = self._wall_clock()
        if now > record.expires_at_seconds:
            return None
        if record.request_hash != request.request_hash:
            return Mismatch()
        return _standing(record, now)

    def _record(self, request: ClaimRequest, state: ClaimState) -> ClaimRecord:
        settled_at = self._wall_clock() + request.settled_within_seconds
        return ClaimRecord(
            state,
            request.attempt_id,
            request.request_hash,
            settled_at,
            settled_at + self._keep_seconds,
        )

    def _settlement(
        self,
        request: ClaimRequest,
        version: int,
        record: ClaimRecord | None,
    ) -> Settlement:
        key = claim_key(request.workspace, request.key)
        return Settlement(key, request.attempt_id, version, record)


def _standing(record: ClaimRecord, now: float) -> ClaimAnswer:
    if record.state is ClaimState.FINISHED:
        return AlreadyFinished()
    if record.state is ClaimState.UNKNOWN or now > record.settled_at_seconds:
        return OutcomeLost()
    return AlreadyRunning()


def _version(found: StoredObject | None) -> int:
    return 0 if found is None or found.deleted else found.version
