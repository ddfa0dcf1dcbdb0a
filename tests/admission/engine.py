"""An admission and an engine that reads one prompt after the other."""

from __future__ import annotations

from sardinetrack.admission.ask import Ask, Granted, Refused
from sardinetrack.admission.pace import FIRST_RATE_TOKENS
from sardinetrack.admission.reading import ReadingAdmission

PATIENCE_SECONDS = 0.4
MEMORY_TOKENS = 100_000


class Engine:
    """Both, on a clock of their own."""

    def __init__(self, slots):
        self.now = float(0)
        self.admission = ReadingAdmission(slots, MEMORY_TOKENS)
        self.asks = {}
        self.granted = []
        self.refused = {}
        self.unread = []

    def ask(self, workspace, tokens, **more):
        name = f'{workspace}.{len(self.asks)}'
        fields = {
            'kept_tokens': 100,
            'answer_tokens': 50,
            'patience_seconds': PATIENCE_SECONDS,
            **more,
        }
        ask = Ask(name, workspace, tokens, **fields)
        self.asks[name] = ask
        self.take(self.admission.ask(self.now, ask))

    def take(self, verdicts):
        for verdict in verdicts:
            assert verdict.ask_id not in self.refused
            assert verdict.ask_id not in self.granted
            if isinstance(verdict, Granted):
                self.granted.append(verdict.ask_id)
                self.unread.append(verdict.ask_id)
            else:
                assert isinstance(verdict, Refused)
                self.refused[verdict.ask_id] = verdict

    def read_one(self, rate=FIRST_RATE_TOKENS):
        name = self.unread.pop(0)
        self.now += self.asks[name].new_tokens / rate
        self.take(self.admission.tick(self.now))
        self.take(self.admission.begun(self.now, name))
        return name

    def run_one(self, rate=FIRST_RATE_TOKENS):
        name = self.read_one(rate)
        self.take(self.admission.ended(self.now, name))

    def count(self, names, workspace):
        return sum(name.startswith(f'{workspace}.') for name in names)
