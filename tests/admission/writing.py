"""An engine that reads in chunks beside the answers that it writes.

A step writes one token of each running answer, and reads a chunk of the prompts
that it was given; the more run, the longer it takes.
"""

from __future__ import annotations

import random

from sardinetrack.admission.ask import Ask, Granted
from sardinetrack.admission.batch import SLOTS_PART
from sardinetrack.admission.reading import ReadingAdmission

DEADLINE_SECONDS = 12.0
OBJECTIVE_SECONDS = 1.0
_STEP_SECONDS = 0.003
_ANSWER_SECONDS = 0.0001
_READ_TOKENS_A_SECOND = 57_000
_CHUNK_TOKENS = 1024
_PROMPT_TOKENS = 2_000
_LENGTH_SPREAD = 0.6
_HINT_SPREAD = 0.5


class Written:
    """One answer under way."""

    def __init__(self, ask_id, length, told, asked_seconds):
        self.ask_id = ask_id
        self.length = length
        self.told = told
        self.asked_seconds = asked_seconds
        self.unread = _PROMPT_TOKENS
        self.tokens = 0


class WritingEngine:
    """Plays a crowd of callers; counts how their answers end."""

    def __init__(self, slots, median_tokens, *, bounded):
        self.now = float(0)
        self.whole = 0
        self.cut = 0
        self._admission = ReadingAdmission(slots, 10_000_000)
        self._bounded = bounded
        self._median_tokens = median_tokens
        self._asked = {}
        self._running = []
        self._random = random.Random(7)

    @property
    def part(self):
        return self._admission.batch.part

    def run(self, rate, seconds):
        due_seconds = self.now
        end_seconds = self.now + seconds
        while self.now < end_seconds:
            while due_seconds <= self.now:
                self._ask()
                due_seconds += self._random.expovariate(rate)
            self._step()

    def _ask(self):
        length = self._random.lognormvariate(0, _LENGTH_SPREAD)
        length = max(1, int(length * self._median_tokens))
        hint = self._random.lognormvariate(0, _HINT_SPREAD)
        told = max(1, int(length * hint))
        name = f'a{len(self._asked)}'
        self._asked[name] = Written(name, length, told, self.now)
        ask = Ask(
            name,
            'crowd',
            _PROMPT_TOKENS,
            _PROMPT_TOKENS + told,
            told,
            0.6,
            due_seconds=OBJECTIVE_SECONDS,
            ends_seconds=DEADLINE_SECONDS,
        )
        self._take(self._admission.ask(self.now, ask))

    def _take(self, verdicts):
        for verdict in verdicts:
            if isinstance(verdict, Granted):
                self._running.append(self._asked[verdict.ask_id])

    def _step(self):
        if not self._bounded:
            self._admission.batch.part = SLOTS_PART
        read_tokens, begun = self._read()
        writing = [one for one in self._running if not one.unread]
        self.now += _STEP_SECONDS + len(writing) * _ANSWER_SECONDS
        self.now += read_tokens / _READ_TOKENS_A_SECOND
        for ask_id in begun:
            self._take(self._admission.begun(self.now, ask_id))
        for answer in writing:
            answer.tokens += 1
            self._judge(answer)
        self._take(self._admission.tick(self.now))

    def _read(self):
        """Read a chunk; tell its size and whose prompts are read now."""
        left = _CHUNK_TOKENS
        begun = []
        for answer in self._running:
            if answer.unread:
                read = min(left, answer.unread)
                answer.unread -= read
                left -= read
                if not answer.unread:
                    begun.append(answer.ask_id)
        return _CHUNK_TOKENS - left, begun

    def _judge(self, one):
        whole = one.tokens >= one.length
        late = self.now > one.asked_seconds + DEADLINE_SECONDS
        if not whole and not late:
            return
        self.whole += whole
        self.cut += not whole
        self._running.remove(one)
        self._take(
            self._admission.ended(self.now, one.ask_id, whole=whole),
        )
