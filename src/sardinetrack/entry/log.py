"""The decision lines of an entry."""

from __future__ import annotations

from typing import Final

from sardinetrack.entry.ticket import Ticket
from sardinetrack.logs.lines import DecisionRecord, Part, PartLogger
from sardinetrack.routing.api import AttemptEnd, Dispatch, Held, Reject

_LOG: Final = PartLogger(Part.ENTRY)
_DIGITS: Final = 3


def log_dispatch(ticket: Ticket, dispatch: Dispatch, server: str) -> None:
    """Write where a request goes.

    :param server: the backend server.
    """
    work = ticket.work
    _LOG.decision(
        'dispatch',
        DecisionRecord(
            request_id=work.request_id,
            workspace=work.workspace,
            pool=work.pool,
            backend_server=server,
            reason=dispatch.reason,
            attempt_id=dispatch.attempt_id,
            waited_seconds=round(ticket.age_seconds(), _DIGITS),
            suspect=dispatch.suspect,
        ),
    )


def log_held(ticket: Ticket, held: Held) -> None:
    """Write why a request still waits."""
    work = ticket.work
    _LOG.info(
        'still waiting',
        request_id=work.request_id,
        workspace=work.workspace,
        pool=work.pool,
        reason=held.reason.value,
        avoided=','.join(held.avoided),
        waits_for=','.join(held.waits_for),
        slots=held.slots,
        waited_seconds=round(ticket.age_seconds(), _DIGITS),
    )


def log_reject(ticket: Ticket, reject: Reject) -> None:
    """Write that a request gets an error."""
    work = ticket.work
    reason = reject.kind.value
    _LOG.decision(
        'reject',
        DecisionRecord(
            request_id=work.request_id,
            workspace=work.workspace,
            pool=work.pool,
            backend_server='',
            reason=f'{reason}: {reject.detail}' if reject.detail else reason,
            waited_seconds=round(ticket.age_seconds(), _DIGITS),
        ),
    )


def log_end(
    dispatch: Dispatch,
    end: AttemptEnd,
    server: str,
    cost: float,
) -> None:
    """Write how an attempt ended.

    :param server: the backend server.
    """
    _LOG.info(
        'attempt ended',
        request_id=dispatch.request_id,
        attempt_id=dispatch.attempt_id,
        backend_server=server,
        end=end.value,
        cost=round(cost, _DIGITS),
    )
