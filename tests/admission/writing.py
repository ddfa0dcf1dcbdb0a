"""An engine that prefills in chunks while it decodes responses.

A step decodes one token of each running response, and prefills a chunk of the
granted prompts; the more responses run, the longer it takes.
"""

from __future__ import annotations

import random

from sardinetrack.admission.batch import MAX_SLOTS_FRACTION
from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.admission.request import AdmissionRequest, Granted

DEADLINE_SECONDS = 12.0
OBJECTIVE_SECONDS = 1.0
_STEP_SECONDS = 0.003
_RESPONSE_SECONDS = 0.0001
_PREFILL_TOKENS_A_SECOND = 57_000
_CHUNK_TOKENS = 1024
_PROMPT_TOKENS = 2_000
_LENGTH_SPREAD = 0.6
_ESTIMATE_SPREAD = 0.5


class Response:
    """A response that has been requested."""

    def __init__(self, permit_id, length, estimate, requested_seconds):
        self.permit_id = permit_id
        self.length = length
        self.estimate = estimate
        self.requested_seconds = requested_seconds
        self.pending_tokens = _PROMPT_TOKENS
        self.tokens = 0


class DecodingEngine:
    """Simulates many callers; counts how their responses end."""

    def __init__(self, slots, median_tokens, *, limited):
        self.now = float(0)
        self.complete = 0
        self.truncated = 0
        self._admission = PrefillAdmission(slots, 10_000_000)
        self._limited = limited
        self._median_tokens = median_tokens
        self._requested = {}
        self._running = []
        self._rng = random.Random(7)

    @property
    def slots_fraction(self):
        return self._admission.batch.part

    def run(self, rate, seconds):
        due_seconds = self.now
        end_seconds = self.now + seconds
        while self.now < end_seconds:
            while due_seconds <= self.now:
                self._request()
                due_seconds += self._rng.expovariate(rate)
            self._step()

    def _request(self):
        length = self._rng.lognormvariate(0, _LENGTH_SPREAD)
        length = max(1, int(length * self._median_tokens))
        error = self._rng.lognormvariate(0, _ESTIMATE_SPREAD)
        estimate = max(1, int(length * error))
        name = f'a{len(self._requested)}'
        self._requested[name] = Response(name, length, estimate, self.now)
        request = AdmissionRequest(
            name,
            'crowd',
            _PROMPT_TOKENS,
            _PROMPT_TOKENS + estimate,
            estimate,
            0.6,
            first_event_due_seconds=OBJECTIVE_SECONDS,
            until_deadline_seconds=DEADLINE_SECONDS,
        )
        self._apply(self._admission.request_permit(self.now, request))

    def _apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, Granted):
                self._running.append(self._requested[decision.permit_id])

    def _step(self):
        if not self._limited:
            self._admission.batch.part = MAX_SLOTS_FRACTION
        prefilled_tokens, prefilled = self._prefill()
        decoding = [one for one in self._running if not one.pending_tokens]
        self.now += _STEP_SECONDS + len(decoding) * _RESPONSE_SECONDS
        self.now += prefilled_tokens / _PREFILL_TOKENS_A_SECOND
        for permit_id in prefilled:
            self._apply(self._admission.prefill_finished(self.now, permit_id))
        for response in decoding:
            response.tokens += 1
            self._finish(response)
        self._apply(self._admission.tick(self.now))

    def _prefill(self):
        """Prefill a chunk; return its size and the prompts that are done."""
        left = _CHUNK_TOKENS
        prefilled = []
        for response in self._running:
            if response.pending_tokens:
                tokens = min(left, response.pending_tokens)
                response.pending_tokens -= tokens
                left -= tokens
                if not response.pending_tokens:
                    prefilled.append(response.permit_id)
        return _CHUNK_TOKENS - left, prefilled

    def _finish(self, one):
        complete = one.tokens >= one.length
        late = self.now > one.requested_seconds + DEADLINE_SECONDS
        if not complete and not late:
            return
        self.complete += complete
        self.truncated += not complete
        self._running.remove(one)
        self._apply(
            self._admission.ended(
                self.now, one.permit_id, is_complete=complete
            ),
        )
