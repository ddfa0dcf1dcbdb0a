"""Apply what servers say about themselves in the heads of their responses."""

from __future__ import annotations

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import ResponseHead
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer


def apply_notices(
    state: EntryState,
    server: BackendServer,
    request_id: str,
    response: ResponseHead,
) -> None:
    """Apply the head of any response, also of one to another request.

    :param request_id: of the request that was sent.
    """
    if response.rest_seconds is not None:
        _apply_rest(state, server, request_id, response)
    if response.leaving and state.mark_leaving(server):
        state.meters.announced_leavings += 1
        state.log.write(
            Event.SERVER_LEAVING,
            server=server.instance,
            request=request_id,
            source='response',
        )


def _apply_rest(
    state: EntryState,
    server: BackendServer,
    request_id: str,
    response: ResponseHead,
) -> None:
    seconds = response.rest_seconds or 0
    rests = state.server_states.rests
    if rests.begin(boot_clock(), server.instance, seconds):
        state.meters.rests += 1
        state.log.write(
            Event.SERVER_REST,
            server=server.instance,
            seconds=seconds,
            request=request_id,
            status=response.status,
        )
