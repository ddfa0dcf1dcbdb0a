"""What the moves of one request use."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.relay.api import CallerRequest, ProtocolAdapter
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.flow_control import FlowControl
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.server_choice import Placer


@dataclass(frozen=True, slots=True)
class MoveTools:
    """The request, and what places it, sends it and limits its reading."""

    state: EntryState
    adapter: ProtocolAdapter
    call: CallerRequest
    plan: Plan
    placer: Placer
    flow: FlowControl
