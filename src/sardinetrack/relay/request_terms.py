"""What a request asks of a server when it requests a permit."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import Final

from sardinetrack.admission.request import OWED_FRACTION, AdmissionRequest
from sardinetrack.placement.choice import Candidate
from sardinetrack.placement.prefix_index import MIN_SHARED_PREFIX_TOKENS
from sardinetrack.placement.rendezvous import (
    shared_prefix,
    shared_prefix_tokens,
)
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.crashes import fingerprint
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.trace import Trace

MAX_WAIT_FRACTION: Final = 0.8
"""Fraction of the objective to the first event that a request may wait at most.

The side decides how long it really can, since it knows how long the prefill
takes; the rest of the objective is for the first event and its transfer.
"""
CALLER_PATIENCE_SECONDS: Final = 2.0
"""How long callers wait at least for the next event of a stream that they have
begun to read. Source: the users' pages."""
RECOMPUTE_WAIT_SECONDS: Final = 0.02
"""Wait of a request at a server that has to prefill a shared prefix again.

Away from its home server a request uses only free capacity, for which no
request waits that has its home server there.
"""
MOVE_WAIT_SECONDS: Final = 0.2
"""Wait for the permit of a stream that moves off an engine; that engine serves
for 3 s at most, and the stream also has to be copied in that time."""
_FINGERPRINT_DIGITS: Final = 16
"""64 bits: two of the requests that a side remembers collide once in 10^11
times."""


class RequestTerms:
    """Tokens, waits and identity of one request, for all its servers."""

    def __init__(
        self,
        state: EntryState,
        call: CallerRequest,
        trace: Trace,
    ) -> None:
        """Derive them from a request."""
        self.shared_prefix = shared_prefix(call.prompt)
        """Empty if it is too short to choose a server by."""
        if shared_prefix_tokens(call.prompt) < MIN_SHARED_PREFIX_TOKENS:
            self.shared_prefix = ''
        self._state = state
        self._call = call
        self._trace = trace
        self._loop = asyncio.get_running_loop()
        self._fingerprint = ''
        self._estimated_tokens: int | None = None
        self._since_refusal_seconds = float(0)
        self._is_owed = False

    def of_continuation(
        self, plan: Plan, candidate: Candidate
    ) -> AdmissionRequest:
        """Return the request for a stream that continues from a copy."""
        return replace(
            self.admission_request(plan, candidate, MOVE_WAIT_SECONDS),
            kv_cache_tokens=self._call.prompt.tokens
            + self._output_tokens(plan),
            output_tokens=0,
            cached_tokens=0,
            shared_prefix='',
            first_event_due_seconds=plan.route.first_event_objective_seconds,
            since_refusal_seconds=0,
        )

    @property
    def is_owed(self) -> bool:
        """Whether the workspace has received less than others that wait."""
        return self._is_owed

    def record_refusal(
        self, since_refusal_seconds: float, service_fraction: float
    ) -> None:
        """Record a refusal.

        :param since_refusal_seconds: how long ago the side refused it first.
        :param service_fraction: see ``Refused``.
        """
        self._is_owed = service_fraction < OWED_FRACTION
        self._since_refusal_seconds = max(
            self._since_refusal_seconds, since_refusal_seconds
        )

    def admission_request(
        self,
        plan: Plan,
        candidate: Candidate,
        wait_limit_seconds: float,
    ) -> AdmissionRequest:
        """Return the request for a permit for a server.

        :param wait_limit_seconds: how long it may wait there.
        """
        state = self._state
        request_id = self._call.request_id
        number = state.server_states.permit_numbers.next_number()
        self._trace.permit_requests += 1
        is_trial = bool(self.suspected_part(plan))
        now = self._loop.time()
        return AdmissionRequest(
            permit_id=f'{request_id}.{number}',
            workspace=plan.workspace_name,
            prefill_tokens=candidate.prefill_tokens,
            kv_cache_tokens=candidate.prefill_tokens
            + self._output_tokens(plan),
            output_tokens=self._output_tokens(plan),
            max_wait_seconds=(
                RECOMPUTE_WAIT_SECONDS
                if candidate.recomputes_prefix
                and not (is_trial or self._is_owed)
                else wait_limit_seconds
            ),
            entry=state.settings.instance,
            served_tokens=state.service.tokens(now, plan.workspace_name),
            shared_prefix=self.shared_prefix,
            first_event_due_seconds=self.first_event_due_seconds(plan) - now,
            until_deadline_seconds=max(0, plan.deadline_seconds - now),
            fingerprint=self._request_fingerprint(plan),
            since_refusal_seconds=self._since_refusal_seconds,
            event_gap_seconds=plan.route.event_gap_seconds or math.inf,
            is_trial=is_trial,
            cached_tokens=max(
                0, self._call.prompt.tokens - candidate.prefill_tokens
            ),
            short_seconds=state.service.short_seconds(now, plan.workspace_name),
        )

    def _output_tokens(self, plan: Plan) -> int:
        if self._estimated_tokens is None:
            lengths = self._state.server_states.lengths
            self._estimated_tokens = lengths.tokens(
                plan.route.name, self._call.prompt
            )
        return self._estimated_tokens

    def _request_fingerprint(self, plan: Plan) -> str:
        """Return a hash that stays the same when the caller sends it again."""
        if not self._fingerprint:
            digest = fingerprint(self._call, plan.workspace_name)
            self._fingerprint = digest[:_FINGERPRINT_DIGITS]
        return self._fingerprint

    def first_event_due_seconds(self, plan: Plan) -> float:
        """Return when the first event is due, on the event loop's clock."""
        first_arrival_seconds = (
            self._call.arrived_seconds - self._since_refusal_seconds
        )
        return first_arrival_seconds + self._objective_seconds(plan)

    def _objective_seconds(self, plan: Plan) -> float:
        """Return the objective from the arrival to the first event.

        Where only some servers can continue a stream, it waits for them as long
        as its caller does: elsewhere it can't go, and it is late already.
        """
        objective_seconds = plan.route.first_event_objective_seconds
        continues = self._trace.origin is not None
        if continues and self._state.streams.has_versions(plan.pool.name):
            return max(objective_seconds, CALLER_PATIENCE_SECONDS)
        return objective_seconds

    def max_wait_seconds(self, plan: Plan) -> float:
        """Return how long the request may wait for a permit."""
        return MAX_WAIT_FRACTION * self._objective_seconds(plan)

    def suspected_part(self, plan: Plan) -> str:
        """Return a part of the prompt that may crash engines, or ''."""
        quarantine = self._state.crashes.quarantine
        return quarantine.suspected_part(self._loop.time(), plan.part_keys)
