"""Order the log lines of many processes about one request by cause.

Clocks of instances may differ by seconds, so times order only the lines of one
process. Across processes the number of the permit request does: a side's
refusal of permit request N comes before the send that followed a permit request
with a higher number.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

Line = Mapping[str, Any]

_STATE_EVENTS: Final = (
    'configured',
    'store_lost',
    'store_back',
    'ready',
    'stopping',
)
_LAST_EVENT: Final = 'request_ended'
_END_RANK: Final = 1_000_000


@dataclass(slots=True)
class RequestTrace:
    """Log lines that concern one request."""

    steps: list[Line] = field(default_factory=list)
    """Lines about the request, in causal order."""
    entry_state: list[Line] = field(default_factory=list)
    """Latest lines about its entry's state before the request ended."""
    dropped: dict[str, int] = field(default_factory=dict)
    """Lines dropped by each instance; any could be about this request."""

    @property
    def complete(self) -> bool:
        """Whether the entry's line about the end of the request is present."""
        return any(step['event'] == _LAST_EVENT for step in self.steps)


def parse_lines(text_lines: Iterable[str]) -> Iterator[Line]:
    """Parse structured lines; text before the first brace is skipped."""
    for text in text_lines:
        start = text.find('{"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The line is incomplete because its process was killed.
            continue
        if 'event' in line:
            yield line


def trace_request(
    request_id: str,
    files: Iterable[Iterable[Line]],
) -> RequestTrace:
    """Collect the lines of all processes about a request.

    :param request_id: the caller's id of the request.
    :param files: the lines of each file, in the order in which they were
        written.
    """
    trace = RequestTrace()
    found: list[tuple[int, int, Line]] = []
    for lines in files:
        _read_file(lines, request_id, found, trace)
    trace.steps = [ranked[2] for ranked in sorted(found, key=_sort_key)]
    return trace


def _read_file(
    lines: Iterable[Line],
    request_id: str,
    found: list[tuple[int, int, Line]],
    trace: RequestTrace,
) -> None:
    recent: dict[str, dict[str, Line]] = {}
    for line in lines:
        _record_state(line, recent, trace)
        if not _is_about(line, request_id):
            continue
        found.append((_rank(line, found), len(found), line))
        if line['event'] == _LAST_EVENT:
            trace.entry_state = list(recent.get(_instance(line), {}).values())


def _sort_key(found: tuple[int, int, Line]) -> tuple[int, int]:
    return found[0], found[1]


def _instance(line: Line) -> str:
    return str(line.get('node', ''))


def _record_state(
    line: Line,
    recent: dict[str, dict[str, Line]],
    trace: RequestTrace,
) -> None:
    event = line['event']
    if event == 'lines_dropped':
        trace.dropped[_instance(line)] = int(line.get('lines', 0))
    if event == 'started':
        # Earlier lines are of a previous process of the same instance.
        recent.pop(_instance(line), None)
    if event in _STATE_EVENTS:
        kind = 'store' if event.startswith('store') else event
        recent.setdefault(_instance(line), {}).update({kind: line})


def _is_about(line: Line, request_id: str) -> bool:
    logged_id = str(line.get('request', ''))
    return logged_id == request_id or logged_id.startswith(f'{request_id}.')


def _rank(line: Line, found: list[tuple[int, int, Line]]) -> int:
    """Return the rank of a line in the causal order of the request."""
    if line['event'] == _LAST_EVENT:
        return _END_RANK
    _, _, number = str(line['request']).partition('.')
    if number:
        return 2 * int(number)
    permit_number = line.get('ask')
    if permit_number is not None:
        return 2 * int(permit_number) + 1
    return max((rank for rank, _, _ in found if rank < _END_RANK), default=0)
