"""Compares the responses of callers with the stand-ins' executions."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from benchmarks.chaos.submission import Kind, Submission

_OK: Final = 200
_MAX_NOTES: Final = 40
_SHOWN_BYTES: Final = 300
_NOT_RUN: Final = 'sardinetrack-not-run'
_VIOLATIONS: Final = frozenset(
    ('lost', 'doubled', 'wrong', 'false_not_run', 'leaked', 'internal'),
)


@dataclass(frozen=True, slots=True)
class Received:
    """The response that the caller of one submission received."""

    status: int = 0
    """0 if no response began."""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    """Whether the end of the HTTP body arrived."""
    excused: bool = False
    """The caller disconnected or its entry crashed: no response is due."""
    waited_seconds: float = 0

    @property
    def code(self) -> str:
        """The error code of a complete error response."""
        try:
            return str(json.loads(self.body)['error']['code'])
        except (ValueError, KeyError, TypeError):
            return ''

    @property
    def is_success(self) -> bool:
        """Whether a complete response of a backend server arrived."""
        return self.complete and self.status == _OK

    @property
    def not_run(self) -> bool:
        """Whether the response states that the request did not run."""
        return self.complete and self.headers.get(_NOT_RUN) == 'true'


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
    """Error responses caused by a fault in the daemons."""
    starved: int = 0
    leaked: int = 0
    longest_wait_seconds: float = 0
    slowest: str = ''
    """The request that waited longest, and its response."""
    notes: list[str] = field(default_factory=list)

    @property
    def has_violations(self) -> bool:
        """Whether a guarantee was violated."""
        return any(getattr(self, name) for name in _VIOLATIONS)

    def record_violation(self, name: str, text: str) -> None:
        """Count a violated guarantee and describe it."""
        setattr(self, name, getattr(self, name) + 1)
        if len(self.notes) < _MAX_NOTES:
            self.notes.append(f'{name}: {text}')

    def as_content(self) -> dict[str, Any]:
        """Return the figures as JSON content."""
        names = [name for name in self.__slots__ if name != 'notes']
        content = {name: getattr(self, name) for name in names}
        return {**content, 'notes': self.notes}


@dataclass(frozen=True, slots=True)
class _Result:
    submission: Submission
    received: Received

    @property
    def label(self) -> str:
        return '='.join((self.submission.name, _label(self.received)))


class ResultChecker:
    """Records each response and checks them all at the end."""

    def __init__(self) -> None:
        self.verdicts = Verdicts()
        self._results: list[_Result] = []

    def record(self, submission: Submission, received: Received) -> None:
        """Record what the caller of a submission received."""
        self.verdicts.requests += 1
        self._results.append(_Result(submission, received))
        self.verdicts.answers[_label(received)] += 1
        if received.waited_seconds > self.verdicts.longest_wait_seconds:
            self.verdicts.longest_wait_seconds = received.waited_seconds
            self.verdicts.slowest = ' '.join(
                (submission.kind, _Result(submission, received).label),
            )
        if received.code == 'not_run_deadline':
            self.verdicts.starved += 1
        if received.code == 'internal_error':
            self.verdicts.record_violation('internal', submission.name)
        if not received.status and not received.excused:
            self.verdicts.record_violation('lost', submission.name)
        if received.complete:
            self._check_complete(submission, received)

    def check(self, started: Mapping[str, int]) -> Verdicts:
        """Compare the responses with the executions.

        :param started: number of executions by key, over all stand-ins.
        :return: the figures of the run.
        """
        self.verdicts.executions = sum(started.values())
        groups: dict[str, list[_Result]] = defaultdict(list)
        for one in self._results:
            groups[one.submission.group].append(one)
        for results in groups.values():
            self._check_group(results, started)
        return self.verdicts

    def _check_complete(
        self, submission: Submission, received: Received
    ) -> None:
        if received.status == _OK:
            if submission.is_expected_body(received.body):
                return
            if submission.kind is Kind.STREAM and b'"error"' in received.body:
                return
            self.verdicts.record_violation(
                'wrong', _excerpt(submission, received)
            )
        elif not received.code:
            self.verdicts.record_violation(
                'wrong', _excerpt(submission, received)
            )

    def _check_group(
        self,
        results: list[_Result],
        started: Mapping[str, int],
    ) -> None:
        keys = {one.submission.execution_key for one in results}
        runs = sum(started.get(key, 0) for key in keys)
        first = results[0].submission
        labels = ', '.join(one.label for one in results)
        text = f'{first.kind} ran {runs}: {labels}'
        if first.at_most_once and runs > 1:
            self.verdicts.record_violation('doubled', text)
        if any(one.received.is_success for one in results) and not runs:
            self.verdicts.record_violation('wrong', f'nothing ran: {text}')
        for key in keys:
            keyed = [
                one for one in results if one.submission.execution_key == key
            ]
            if started.get(key) and all(one.received.not_run for one in keyed):
                self.verdicts.record_violation('false_not_run', text)


def _excerpt(submission: Submission, received: Received) -> str:
    end = received.body[-_SHOWN_BYTES:]
    return f'{submission.name} {received.status}: {end!r}'


def _label(received: Received) -> str:
    if received.excused and not received.complete:
        return 'excused'
    if not received.status:
        return 'none'
    if not received.complete:
        return 'cut'
    if received.status == _OK:
        return 'whole'
    return received.code or str(received.status)
