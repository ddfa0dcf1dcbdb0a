"""What servers say about themselves in their responses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import CallerRequest, ResponseHead
from sardinetrack.relay.attempt import AttemptObserver
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.permit import Permit
from sardinetrack.relay.stream_directory import StreamBeginning
from sardinetrack.relay.target import Target
from sardinetrack.relay.trace import Trace
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.stream_origin import StreamOrigin
from sardinetrack.turns.clock import loop_now

_MAX_LOGGED_ID_LENGTH: Final = 64


class ServerNotices(AttemptObserver):
    """Applies to a server what the response to one attempt says of it."""

    def __init__(
        self,
        state: EntryState,
        target: Target,
        permit: Permit,
        trace: Trace,
        call: CallerRequest,
        part_keys: Sequence[str],
    ) -> None:
        """Create the observer of one attempt.

        :param target: the server.
        :param permit: of the attempt.
        :param trace: of the request.
        :param call: that was sent.
        :param part_keys: of its prompt.
        """
        self._state = state
        self._target = target
        self._permit = permit
        self._trace = trace
        self._call = call
        self._part_keys = part_keys

    def head_received(self, response: ResponseHead) -> None:
        """Apply a request for rest, a leaving and the server's slowness.

        The slowness only of a response to this request: a late one to another
        request says how slow the server was then.
        """
        if response.rest_seconds is not None:
            self._apply_rest(response.rest_seconds, response.status)
        if response.leaving:
            self._apply_leaving()
        is_own = response.request_id == self._call.sent_id
        if is_own and not response.misdirected:
            load = self._target.load
            load.report_slowness(loop_now(), response.slowness)

    def response_discarded(self, response: ResponseHead, cause: str) -> None:
        """Log and count a response that may be to another request."""
        self._state.meters.discarded[cause] += 1
        self._state.log.write(
            Event.RESPONSE_DISCARDED,
            request=self._call.request_id,
            server=self._target.server.instance,
            cause=cause,
            other=response.request_id[:_MAX_LOGGED_ID_LENGTH],
            response_status=response.status,
        )

    def first_event_received(self) -> None:
        """Record the first event, which already shows that it works."""
        server, trace = self._target.server, self._trace
        origin = trace.origin or StreamOrigin.of(server)
        beginning = StreamBeginning(
            self._state.streams, self._call, server, origin
        )
        if trace.origin is None:
            trace.origin = origin
            trace.beginning = beginning
        self._permit.first_event_received(server, beginning)
        self._target.record_success()
        quarantine = self._state.crashes.quarantine
        quarantine.answered(loop_now(), self._part_keys)

    def _apply_rest(self, seconds: float, status: int) -> None:
        instance = self._target.server.instance
        rests = self._state.server_states.rests
        if not rests.begin(boot_clock(), instance, seconds):
            return
        self._state.meters.rests += 1
        self._state.log.write(
            Event.SERVER_REST,
            server=instance,
            seconds=seconds,
            request=self._call.request_id,
            status=status,
        )

    def _apply_leaving(self) -> None:
        server = self._target.server
        if not self._state.mark_leaving(server):
            return
        self._state.meters.announced_leavings += 1
        self._state.log.write(
            Event.SERVER_LEAVING,
            server=server.instance,
            request=self._call.request_id,
            source='response',
        )
