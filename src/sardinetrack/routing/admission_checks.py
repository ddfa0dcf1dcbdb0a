"""Checks that reject a request on arrival: rate, queue limit, strikes."""

from __future__ import annotations

from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.fairness.account import Account
from sardinetrack.fairness.bucket import TokenBucket
from sardinetrack.fairness.ledger import Ledger
from sardinetrack.routing.api import Reject, RoutedRequest
from sardinetrack.routing.queue import RequestQueues
from sardinetrack.routing.shared import SharedState

_MIN_RETRY_SECONDS: Final = 1.0
_MAX_RETRY_SECONDS: Final = 120.0


def _clamp_retry(seconds: float) -> float:
    return min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)


class AdmissionChecks:
    """Checks new requests of one pool against the limits of their workspace."""

    def __init__(
        self,
        shared: SharedState,
        ledger: Ledger,
        queue: RequestQueues,
    ) -> None:
        self._shared = shared
        self._ledger = ledger
        self._queue = queue
        self._buckets: dict[str, TokenBucket] = {}

    def check(self, now: float, work: RoutedRequest) -> Reject | None:
        """Check a new request.

        :param now: monotonic time.
        :param work: the request.
        :return: the rejection, ``None`` when the request may be queued.
        """
        blocked = self._shared.strikes.blocked_seconds(
            now,
            work.fingerprint,
        )
        if blocked > 0:
            return Reject(
                work.request_id,
                ErrorKind.CRASHES_SERVERS,
                _clamp_retry(blocked),
            )
        return self._check_rate(now, work) or self._check_waiting(work)

    def _check_rate(self, now: float, work: RoutedRequest) -> Reject | None:
        rate = self._shared.limits(work.workspace).rate_per_second
        rate *= self._local_fraction(self._ledger.account(work.workspace))
        bucket = self._buckets.get(work.workspace)
        if bucket is None:
            bucket = TokenBucket(now, rate)
            self._buckets[work.workspace] = bucket
        bucket.set_rate(now, rate)
        if bucket.take(now):
            return None
        return Reject(
            work.request_id,
            ErrorKind.RATE_LIMITED,
            _clamp_retry(bucket.seconds_to_token(now)),
        )

    def _local_fraction(self, account: Account) -> float:
        own = account.running + account.waiting + 1
        peers = account.peer_running + account.peer_waiting
        return own / (own + peers)

    def _check_waiting(self, work: RoutedRequest) -> Reject | None:
        limit = self._shared.limits(work.workspace).waiting
        if self._queue.waiting(work.workspace) < limit:
            return None
        drain_seconds = self._queue.seconds_to_drain(work.workspace)
        return Reject(
            work.request_id,
            ErrorKind.QUEUE_FULL,
            _clamp_retry(drain_seconds),
        )
