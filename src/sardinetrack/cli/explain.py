"""``sardinetrack explain``: show what happened to one request."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.logs import read_logs
from sardinetrack.logs.request_trace import Line, RequestTrace, trace_request


class ExplainCommand(Command):
    """Print the trace of a request from the logs of any processes."""

    name = 'explain'
    help = (
        'show what happened to a request, from the log lines of all processes'
    )
    examples = ('sardinetrack explain 9c41d07be2a35f68 entry-*.log side-*.log',)

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the request id and the files."""
        parser.add_argument('request_id', help="the caller's id of the request")
        parser.add_argument(
            'logs',
            nargs='*',
            help='files of log lines; standard input when none is given',
        )

    def run(self, options: Namespace) -> int:
        """Print the trace."""
        trace = trace_request(options.request_id, read_logs(options.logs))
        if not trace.steps:
            raise CommandError(_not_found(options.request_id, trace))
        for text in _output_lines(trace):
            sys.stdout.write(f'{text}\n')
        return ExitCode.DONE


def _not_found(request_id: str, trace: RequestTrace) -> str:
    text = f'no line is about {request_id}'
    dropped = _dropped_note(trace)
    return f'{text}; {dropped}' if dropped else text


def _output_lines(trace: RequestTrace) -> list[str]:
    texts = [
        f'state of its entry: {_format_line(line)}'
        for line in trace.entry_state
    ]
    texts.extend(_format_line(step) for step in trace.steps)
    if not trace.complete:
        texts.append('its entry has not logged its end: a log file is missing')
    dropped = _dropped_note(trace)
    if dropped:
        texts.append(dropped)
    return texts


def _dropped_note(trace: RequestTrace) -> str:
    counts = (
        f'{instance} {lines}' for instance, lines in trace.dropped.items()
    )
    listed = ', '.join(counts)
    return (
        f'lines were dropped, some may be about this request: {listed}'
        * bool(listed)
    )


def _format_line(line: Line) -> str:
    instance, event = line.get('node', '?'), line['event']
    rest = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in {'node', 'event', 'request'}
    )
    return f'{instance} {event} {rest}'
