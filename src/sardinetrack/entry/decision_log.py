"""Logs the routing decisions of an entry."""

from __future__ import annotations

from typing import Final

from sardinetrack.entry.pending_request import PendingRequest
from sardinetrack.logs.lines import (
    ComponentLogger,
    DecisionRecord,
    LogComponent,
)
from sardinetrack.routing.api import (
    AttemptOutcome,
    Dispatch,
    Reject,
    WaitNotice,
)

_LOG: Final = ComponentLogger(LogComponent.ENTRY)
_DIGITS: Final = 3


def log_dispatch(
    pending: PendingRequest, dispatch: Dispatch, server: str
) -> None:
    """Log where a request is sent.

    :param server: name of the backend server.
    """
    work = pending.work
    _LOG.decision(
        'dispatch',
        DecisionRecord(
            request_id=work.request_id,
            workspace=work.workspace,
            pool=work.pool,
            backend_server=server,
            reason=dispatch.reason,
            attempt_id=dispatch.attempt_id,
            waited_seconds=round(pending.age_seconds(), _DIGITS),
            suspect=dispatch.suspect,
        ),
    )


def log_wait(pending: PendingRequest, notice: WaitNotice) -> None:
    """Log why a request still waits."""
    work = pending.work
    _LOG.info(
        'still waiting',
        request_id=work.request_id,
        workspace=work.workspace,
        pool=work.pool,
        reason=notice.reason.value,
        avoided=','.join(notice.avoided),
        waits_for=','.join(notice.waits_for),
        slots=notice.slots,
        waited_seconds=round(pending.age_seconds(), _DIGITS),
    )


def log_reject(pending: PendingRequest, reject: Reject) -> None:
    """Log that a request gets an error response."""
    work = pending.work
    reason = reject.kind.value
    _LOG.decision(
        'reject',
        DecisionRecord(
            request_id=work.request_id,
            workspace=work.workspace,
            pool=work.pool,
            backend_server='',
            reason=f'{reason}: {reject.detail}' if reject.detail else reason,
            waited_seconds=round(pending.age_seconds(), _DIGITS),
        ),
    )


def log_end(
    dispatch: Dispatch,
    end: AttemptOutcome,
    server: str,
    cost: float,
) -> None:
    """Log the outcome of an attempt.

    :param server: name of the backend server.
    """
    _LOG.info(
        'attempt ended',
        request_id=dispatch.request_id,
        attempt_id=dispatch.attempt_id,
        backend_server=server,
        end=end.value,
        cost=round(cost, _DIGITS),
    )
