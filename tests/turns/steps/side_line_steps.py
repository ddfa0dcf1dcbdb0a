"""Steps for splitting what arrives between entries and sides into lines."""

from __future__ import annotations

import time

from behave import then, when

from sardinetrack.turns.line_protocol import LineProtocol
from sardinetrack.turns.messages import MAX_SIDE_LINE_BYTES

_MEGABYTE = 1_000_000
_KILOBYTE = 1000
_PLAYS = 3


class _Lines(LineProtocol):
    """Keeps the last line."""

    max_line_bytes = MAX_SIDE_LINE_BYTES

    def __init__(self):
        super().__init__()
        self.line = b''

    def handle_line(self, line):
        self.line = line

    def handle_connected(self):
        """Do nothing."""

    def handle_disconnected(self):
        """Do nothing."""


def _least_seconds(play):
    took = []
    for _ in range(_PLAYS):
        began = time.process_time()
        play()
        took.append(time.process_time() - began)
    return min(took)


@when('a line of {megabytes:d} MB arrives in pieces of {kilobytes:d} KB')
def receive(context, megabytes, kilobytes):
    piece = b'a' * (kilobytes * _KILOBYTE)
    count = megabytes * _MEGABYTE // len(piece)
    pieces = [piece for _ in range(count)]
    context.protocol = _Lines()

    def feed():
        for one in pieces:
            context.protocol.data_received(one)
        context.protocol.data_received(b'\n')

    context.took_seconds = _least_seconds(feed)
    context.sent = b''.join(pieces)


@then('it is handled whole')
def handled(context):
    assert context.protocol.line == context.sent


@then('that took at most {milliseconds:d} ms of processor time')
def took_at_most(context, milliseconds):
    assert context.took_seconds <= milliseconds / 1000, context.took_seconds
