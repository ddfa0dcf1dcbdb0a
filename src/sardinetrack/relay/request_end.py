"""What an entry records when a request has ended."""

from __future__ import annotations

from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.attempt import Progress
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.trace import Trace
from sardinetrack.turns.clock import loop_now

_DIGITS: Final = 3


def record_end(
    state: EntryState,
    call: CallerRequest,
    plan: Plan | None,
    trace: Trace,
    progress: Progress,
) -> None:
    """Count a request that has ended, and log its last line."""
    took_seconds = loop_now() - call.arrived_seconds
    workspace = plan.workspace_name if plan else ''
    first_seconds = _since_arrival(call, progress.first_event_seconds)
    state.meters.ended(trace.outcome, workspace, took_seconds)
    if first_seconds is not None:
        state.meters.first_event.add(first_seconds)
    state.log.write(
        Event.REQUEST_ENDED,
        request=call.request_id,
        status=trace.status or None,
        reason=trace.reason,
        route=plan.route.name if plan else None,
        workspace=workspace,
        servers=trace.servers,
        waited_seconds=round(trace.waited_seconds, _DIGITS),
        first_seconds=first_seconds,
        took_seconds=round(took_seconds, _DIGITS),
    )


def _since_arrival(call: CallerRequest, seconds: float | None) -> float | None:
    """Return how long after its arrival something happened to a request."""
    if seconds is None:
        return None
    return round(seconds - call.arrived_seconds, _DIGITS)
