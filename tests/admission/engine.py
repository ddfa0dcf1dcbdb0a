"""An admission and an engine that prefills one prompt after the other."""

from __future__ import annotations

from sardinetrack.admission.pace import INITIAL_RATE_TOKENS
from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.admission.request import AdmissionRequest, Granted, Refused

MAX_WAIT_SECONDS = 0.4
MEMORY_TOKENS = 100_000


class Engine:
    """Both, on a simulated clock."""

    def __init__(self, slots):
        self.now = float(0)
        self.admission = PrefillAdmission(slots, MEMORY_TOKENS)
        self.requests = {}
        self.granted = []
        self.refused = {}
        self.pending = []

    def request(self, workspace, tokens, **more):
        name = f'{workspace}.{len(self.requests)}'
        fields = {
            'kv_cache_tokens': 100,
            'output_tokens': 50,
            'max_wait_seconds': MAX_WAIT_SECONDS,
            **more,
        }
        request = AdmissionRequest(name, workspace, tokens, **fields)
        self.requests[name] = request
        self.apply(self.admission.request_permit(self.now, request))

    def apply(self, decisions):
        for decision in decisions:
            assert decision.permit_id not in self.refused
            assert decision.permit_id not in self.granted
            if isinstance(decision, Granted):
                self.granted.append(decision.permit_id)
                self.pending.append(decision.permit_id)
            else:
                assert isinstance(decision, Refused)
                self.refused[decision.permit_id] = decision

    def prefill_one(self, rate=INITIAL_RATE_TOKENS):
        name = self.pending.pop(0)
        self.now += self.requests[name].prefill_tokens / rate
        self.apply(self.admission.tick(self.now))
        self.apply(self.admission.prefill_finished(self.now, name))
        return name

    def run_one(self, rate=INITIAL_RATE_TOKENS):
        name = self.prefill_one(rate)
        self.apply(self.admission.ended(self.now, name))

    def count(self, names, workspace):
        return sum(name.startswith(f'{workspace}.') for name in names)
