"""Limits that refuse work at once: rate, waiting work, known crashers."""

from __future__ import annotations

from typing import Final

from sardinetrack.errors.api import ErrorKind
from sardinetrack.fairness.account import Account
from sardinetrack.fairness.bucket import TokenBucket
from sardinetrack.fairness.ledger import Ledger
from sardinetrack.routing.api import Reject, Work
from sardinetrack.routing.queue import WorkQueue
from sardinetrack.routing.shared import Shared

_LEAST_RETRY_SECONDS: Final = 1.0
_MOST_RETRY_SECONDS: Final = 120.0


def _bounded(seconds: float) -> float:
    return min(max(seconds, _LEAST_RETRY_SECONDS), _MOST_RETRY_SECONDS)


class Gate:
    """Checks new work of one pool against the limits of its workspace."""

    def __init__(
        self,
        shared: Shared,
        ledger: Ledger,
        queue: WorkQueue,
    ) -> None:
        """Wire the parts of one pool."""
        self._shared = shared
        self._ledger = ledger
        self._queue = queue
        self._buckets: dict[str, TokenBucket] = {}

    def check(self, now: float, work: Work) -> Reject | None:
        """Decide on a new request.

        :param now: monotonic time.
        :param work: the request.
        :return: a final refusal, ``None`` when it may wait.
        """
        condemned = self._shared.strikes.condemned_seconds(
            now,
            work.fingerprint,
        )
        if condemned > 0:
            return Reject(
                work.request_id,
                ErrorKind.CRASHES_SERVERS,
                _bounded(condemned),
            )
        return self._check_rate(now, work) or self._check_waiting(work)

    def _check_rate(self, now: float, work: Work) -> Reject | None:
        rate = self._shared.limits(work.workspace).rate_per_second
        rate *= self._share(self._ledger.account(work.workspace))
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
            _bounded(bucket.seconds_to_token(now)),
        )

    def _share(self, account: Account) -> float:
        own = account.running + account.waiting + 1
        peers = account.peer_running + account.peer_waiting
        return own / (own + peers)

    def _check_waiting(self, work: Work) -> Reject | None:
        limit = self._shared.limits(work.workspace).waiting
        if self._queue.waiting(work.workspace) < limit:
            return None
        drained = self._queue.drained_seconds(work.workspace)
        return Reject(
            work.request_id,
            ErrorKind.QUEUE_FULL,
            _bounded(drained),
        )
