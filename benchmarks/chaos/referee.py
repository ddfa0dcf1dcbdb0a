"""Compares what callers were told with what the stand-ins ran."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from benchmarks.chaos.asked import Asked, Kind

_OK: Final = 200
_MOST_NOTES: Final = 40
_SHOWN_BYTES: Final = 300
_NOT_RUN: Final = 'sardinetrack-not-run'
_BROKEN: Final = frozenset(
    ('lost', 'doubled', 'wrong', 'false_not_run', 'leaked', 'internal'),
)


@dataclass(frozen=True, slots=True)
class Received:
    """What one submission's caller saw."""

    status: int = 0
    """0 when no answer began."""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    """The framing's own end arrived."""
    excused: bool = False
    """The caller left, or its entry died: no answer is owed."""
    waited_seconds: float = 0

    @property
    def code(self) -> str:
        """The stable code of a whole error answer."""
        try:
            return str(json.loads(self.body)['error']['code'])
        except (ValueError, KeyError, TypeError):
            return ''

    @property
    def is_answer(self) -> bool:
        """Whether a server's answer arrived whole."""
        return self.whole and self.status == _OK

    @property
    def not_run(self) -> bool:
        """Whether the caller was told that it did not run."""
        return self.whole and self.headers.get(_NOT_RUN) == 'true'


@dataclass(slots=True)
class Verdicts:
    """Figures of one run."""

    requests: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    answers: Counter[str] = field(default_factory=Counter)
    executions: int = 0
    lost: int = 0
    doubled: int = 0
    wrong: int = 0
    false_not_run: int = 0
    internal: int = 0
    """Answers that tell of a fault in the daemons."""
    starved: int = 0
    leaked: int = 0
    longest_wait_seconds: float = 0
    slowest: str = ''
    """The request that waited longest, and its answer."""
    notes: list[str] = field(default_factory=list)

    @property
    def broken(self) -> bool:
        """Whether a promise was broken."""
        return any(getattr(self, name) for name in _BROKEN)

    def note(self, name: str, text: str) -> None:
        """Count a broken promise and describe it."""
        setattr(self, name, getattr(self, name) + 1)
        if len(self.notes) < _MOST_NOTES:
            self.notes.append(f'{name}: {text}')

    def as_content(self) -> dict[str, Any]:
        """The figures as JSON content."""
        names = [name for name in self.__slots__ if name != 'notes']
        content = {name: getattr(self, name) for name in names}
        return {**content, 'notes': self.notes}


@dataclass(frozen=True, slots=True)
class _Told:
    asked: Asked
    received: Received

    @property
    def label(self) -> str:
        return '='.join((self.asked.name, _label(self.received)))


class Referee:
    """Notes each answer as it comes and judges at the end."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.verdicts = Verdicts()
        self._told: list[_Told] = []

    def told(self, asked: Asked, received: Received) -> None:
        """Take in what a caller saw."""
        self.verdicts.requests += 1
        self._told.append(_Told(asked, received))
        self.verdicts.answers[_label(received)] += 1
        if received.waited_seconds > self.verdicts.longest_wait_seconds:
            self.verdicts.longest_wait_seconds = received.waited_seconds
            self.verdicts.slowest = ' '.join(
                (asked.kind, _Told(asked, received).label),
            )
        if received.code == 'not_run_deadline':
            self.verdicts.starved += 1
        if received.code == 'internal_error':
            self.verdicts.note('internal', asked.name)
        if not received.status and not received.excused:
            self.verdicts.note('lost', asked.name)
        if received.whole:
            self._judge_whole(asked, received)

    def judge(self, started: Mapping[str, int]) -> Verdicts:
        """Compare with the executions.

        :param started: executions by key, over all stand-ins.
        """
        self.verdicts.executions = sum(started.values())
        groups: dict[str, list[_Told]] = defaultdict(list)
        for one in self._told:
            groups[one.asked.group].append(one)
        for told in groups.values():
            self._judge_group(told, started)
        return self.verdicts

    def _judge_whole(self, asked: Asked, received: Received) -> None:
        if received.status == _OK:
            if asked.is_answered_by(received.body):
                return
            if asked.kind is Kind.STREAM and b'"error"' in received.body:
                return
            self.verdicts.note('wrong', _shown(asked, received))
        elif not received.code:
            self.verdicts.note('wrong', _shown(asked, received))

    def _judge_group(
        self,
        told: list[_Told],
        started: Mapping[str, int],
    ) -> None:
        keys = {one.asked.execution_key for one in told}
        runs = sum(started.get(key, 0) for key in keys)
        first = told[0].asked
        labels = ', '.join(one.label for one in told)
        text = f'{first.kind} ran {runs}: {labels}'
        if first.at_most_once and runs > 1:
            self.verdicts.note('doubled', text)
        if any(one.received.is_answer for one in told) and not runs:
            self.verdicts.note('wrong', f'nothing ran: {text}')
        for key in keys:
            own = [one for one in told if one.asked.execution_key == key]
            if started.get(key) and all(one.received.not_run for one in own):
                self.verdicts.note('false_not_run', text)


def _shown(asked: Asked, received: Received) -> str:
    end = received.body[-_SHOWN_BYTES:]
    return f'{asked.name} {received.status}: {end!r}'


def _label(received: Received) -> str:
    if received.excused and not received.whole:
        return 'excused'
    if not received.status:
        return 'none'
    if not received.whole:
        return 'cut'
    if received.status == _OK:
        return 'whole'
    return received.code or str(received.status)
