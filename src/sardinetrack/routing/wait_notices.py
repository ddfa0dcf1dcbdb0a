"""Log notices about requests that have been queued for long."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Final

from sardinetrack.routing.api import WaitNotice
from sardinetrack.routing.queue import RequestQueues
from sardinetrack.routing.scheduler import Scheduler

NOTICE_DELAY_SECONDS: Final = 1.0
_MAX_NOTICES: Final = 16
"""In one tick; a log line for every queued request would flood the log."""


class WaitNotices:
    """Finds requests that have waited for long; reports each reason once."""

    def __init__(self, queue: RequestQueues, scheduler: Scheduler) -> None:
        self._queue = queue
        self._scheduler = scheduler

    def due(self, now: float) -> Sequence[WaitNotice]:
        """Return notices about requests whose reason to wait has changed.

        :param now: monotonic time.
        :return: the notices to log.
        """
        return list(islice(self._new_notices(now), _MAX_NOTICES))

    def _new_notices(self, now: float) -> Iterator[WaitNotice]:
        for workspace in self._queue.workspaces():
            queued = self._queue.head(workspace)
            if now - queued.queued_seconds < NOTICE_DELAY_SECONDS:
                continue
            notice = self._scheduler.wait_notice(now, queued)
            if notice.reason is not queued.reported_reason:
                queued.reported_reason = notice.reason
                yield notice
