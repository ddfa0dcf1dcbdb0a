"""What an entry records when a request has ended."""

from __future__ import annotations

from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.attempt import Progress
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.meters import LateCause
from sardinetrack.relay.pauses import Pause, StreamPauses
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.trace import SERVED, Trace
from sardinetrack.topology.configuration import Route
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
    first_seconds = _first_seconds(call, progress)
    state.meters.ended(trace.outcome, workspace, took_seconds)
    if first_seconds is not None and plan is not None:
        _record_stream(state, call, plan.route, progress.pauses, first_seconds)
        _record_origin(state, call, plan.route, trace)
    state.log.write(
        Event.REQUEST_ENDED,
        request=call.request_id,
        status=trace.status or None,
        reason=trace.reason,
        route=plan.route.name if plan else None,
        workspace=workspace,
        servers=trace.servers,
        waited_seconds=round(trace.waited_seconds, _DIGITS),
        first_seconds=first_seconds and round(first_seconds, _DIGITS),
        took_seconds=round(took_seconds, _DIGITS),
    )


def _record_origin(
    state: EntryState, call: CallerRequest, route: Route, trace: Trace
) -> None:
    """Publish what began a stream that its caller may continue elsewhere."""
    ended_early = trace.outcome != SERVED
    origin = trace.origin if trace.origin_is_certain else None
    if ended_early and route.resumable and origin is not None:
        state.streams.ended_early(call, origin)


def _record_stream(
    state: EntryState,
    call: CallerRequest,
    route: Route,
    pauses: StreamPauses,
    first_seconds: float,
) -> None:
    """Count a stream that had begun, and why it was late."""
    meters = state.meters.streams
    meters.first_event.add(first_seconds)
    if first_seconds > route.first_event_objective_seconds:
        meters.late[LateCause.FIRST_EVENT] += 1
    if not route.event_gap_seconds:
        return
    meters.add_pause(
        route.name, pauses.longest_seconds / route.event_gap_seconds
    )
    longest = pauses.longest
    if longest is not None and longest.seconds > route.event_gap_seconds:
        meters.late[LateCause.PAUSE] += 1
        _log_late(state, call, route, longest)


def _log_late(
    state: EntryState, call: CallerRequest, route: Route, pause: Pause
) -> None:
    state.log.write(
        Event.STREAM_LATE,
        request=call.request_id,
        server=pause.server,
        route=route.name,
        objective_seconds=route.event_gap_seconds,
        pause_seconds=round(pause.seconds, _DIGITS),
        next_event=pause.next_event,
        resumed=pause.resumed,
        caller_slow=pause.caller_slow,
        new_tokens=pause.prefill_tokens,
    )


def _first_seconds(call: CallerRequest, progress: Progress) -> float | None:
    """Return how long after the arrival the first event came, if one did."""
    if progress.first_event_seconds is None:
        return None
    return progress.first_event_seconds - call.arrived_seconds
