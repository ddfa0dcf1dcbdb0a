"""What the moves of one request use."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.relay.api import CallerRequest, ProtocolAdapter
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.flow_control import FlowControl
from sardinetrack.relay.move_reason import (
    MoveReason,
    engines_without_long_pauses,
)
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.server_choice import Placer
from sardinetrack.relay.trace import Trace
from sardinetrack.topology.servers import BackendServer


@dataclass(frozen=True, slots=True)
class MoveTools:
    """The request, and what places it, sends it and limits its reading."""

    state: EntryState
    adapter: ProtocolAdapter
    call: CallerRequest
    plan: Plan
    placer: Placer
    trace: Trace
    flow: FlowControl

    def destinations(
        self, now: float, reason: MoveReason
    ) -> list[BackendServer]:
        """List the engines to which the stream may move, the source included.

        :param now: on the clock of the event loop.
        """
        if self.trace.origin_is_doubtful(self.state.servers):
            return []
        usable = self.state.usable_servers(
            now, self.plan.pool.name, self.trace.version
        )
        if reason is MoveReason.LEAVING:
            return usable
        return engines_without_long_pauses(
            usable,
            self.state.server_states.loads,
            self.plan.route.event_gap_seconds,
        )
