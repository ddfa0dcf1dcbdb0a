"""``sardinetrack explain``: tell what happened to one request."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.logs import read_logs
from sardinetrack.logs.request_trace import Line, RequestTrace, trace_request


class ExplainCommand(Command):
    """Print the story of a request from the logs of any processes."""

    name = 'explain'
    help = 'tell what happened to a request, from the lines of all processes'
    examples = ('sardinetrack explain 9c41d07be2a35f68 entry-*.log side-*.log',)

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Take the id and the files."""
        parser.add_argument('request_id', help="the caller's id of the request")
        parser.add_argument(
            'logs',
            nargs='*',
            help='files of log lines; standard input when none is given',
        )

    def run(self, options: Namespace) -> int:
        """Print the story."""
        trace = trace_request(options.request_id, read_logs(options.logs))
        if not trace.steps:
            raise CommandError(_nothing(options.request_id, trace))
        for text in _sentences(trace):
            sys.stdout.write(f'{text}\n')
        return ExitCode.DONE


def _nothing(request_id: str, trace: RequestTrace) -> str:
    text = f'no line is about {request_id}'
    dropped = _dropped(trace)
    return f'{text}; {dropped}' if dropped else text


def _sentences(trace: RequestTrace) -> list[str]:
    texts = [
        f'state of its entry: {_fields(line)}' for line in trace.entry_state
    ]
    texts.extend(_fields(step) for step in trace.steps)
    if not trace.complete:
        texts.append('its entry has not told its end: a file is missing')
    dropped = _dropped(trace)
    if dropped:
        texts.append(dropped)
    return texts


def _dropped(trace: RequestTrace) -> str:
    counts = (f'{node} {lines}' for node, lines in trace.dropped.items())
    told = ', '.join(counts)
    return f'lines were dropped, some may be of this request: {told}' * bool(
        told,
    )


def _fields(line: Line) -> str:
    node, event = line.get('node', '?'), line['event']
    rest = ' '.join(
        f'{name}={told}'
        for name, told in line.items()
        if name not in {'node', 'event', 'request'}
    )
    return f'{node} {event} {rest}'
