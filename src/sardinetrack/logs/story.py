"""Put the lines of many processes about one request in the order of cause.

The clocks of instances may be seconds apart, so times order only the lines of
one process. Across processes the number of the ask does: a side's refusal of
ask N comes before the send that followed an ask with a higher number.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

Line = Mapping[str, Any]

_STATE: Final = (
    'configured',
    'store_lost',
    'store_back',
    'ready',
    'stopping',
)
_LAST: Final = 'request_ended'
_END_RANK: Final = 1_000_000


@dataclass(slots=True)
class Story:
    """What is known of one request."""

    steps: list[Line] = field(default_factory=list)
    """Its lines, in the order of cause."""
    state: list[Line] = field(default_factory=list)
    """What its entry had last told of itself before the request ended."""
    dropped: dict[str, int] = field(default_factory=dict)
    """Lines that processes have dropped; any could be of this request."""

    @property
    def complete(self) -> bool:
        """Whether the last line of its entry is there."""
        return any(step['event'] == _LAST for step in self.steps)


def parse_lines(text_lines: Iterable[str]) -> Iterator[Line]:
    """Read structured lines; what stands before the first brace is skipped."""
    for text in text_lines:
        start = text.find('{"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A line that was cut when its process was killed.
            continue
        if 'event' in line:
            yield line


def tell_story(request_id: str, files: Iterable[Iterable[Line]]) -> Story:
    """Collect what all processes wrote of a request.

    :param request_id: the caller's id of the request.
    :param files: the lines of each file, in the order as written.
    """
    story = Story()
    found: list[tuple[int, int, Line]] = []
    for lines in files:
        _read_file(lines, request_id, found, story)
    story.steps = [ranked[2] for ranked in sorted(found, key=_order)]
    return story


def _read_file(
    lines: Iterable[Line],
    request_id: str,
    found: list[tuple[int, int, Line]],
    story: Story,
) -> None:
    recent: dict[str, dict[str, Line]] = {}
    for line in lines:
        _note_state(line, recent, story)
        if not _is_about(line, request_id):
            continue
        found.append((_rank(line, found), len(found), line))
        if line['event'] == _LAST:
            story.state = list(recent.get(_node(line), {}).values())


def _order(found: tuple[int, int, Line]) -> tuple[int, int]:
    return found[0], found[1]


def _node(line: Line) -> str:
    return str(line.get('node', ''))


def _note_state(
    line: Line,
    recent: dict[str, dict[str, Line]],
    story: Story,
) -> None:
    event = line['event']
    if event == 'lines_dropped':
        story.dropped[_node(line)] = int(line.get('lines', 0))
    if event == 'started':
        # What it told before is of another process of the same instance.
        recent.pop(_node(line), None)
    if event in _STATE:
        kind = 'store' if event.startswith('store') else event
        recent.setdefault(_node(line), {}).update({kind: line})


def _is_about(line: Line, request_id: str) -> bool:
    told = str(line.get('request', ''))
    return told == request_id or told.startswith(f'{request_id}.')


def _rank(line: Line, found: list[tuple[int, int, Line]]) -> int:
    """Tell which step of the request a line belongs to."""
    if line['event'] == _LAST:
        return _END_RANK
    _, _, number = str(line['request']).partition('.')
    if number:
        return 2 * int(number)
    ask = line.get('ask')
    if ask is not None:
        return 2 * int(ask) + 1
    return max((rank for rank, _, _ in found if rank < _END_RANK), default=0)
