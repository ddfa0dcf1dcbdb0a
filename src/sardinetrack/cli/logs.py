"""Read the structured log lines of processes."""

from __future__ import annotations

import sys
from pathlib import Path

from sardinetrack.cli.api import CommandError
from sardinetrack.logs.request_trace import Line, parse_lines


def read_logs(paths: list[str]) -> list[list[Line]]:
    """Read files of lines, or standard input if none is given.

    :raises CommandError: a file can't be read.
    """
    if not paths:
        return [list(parse_lines(sys.stdin))]
    try:
        return [
            list(parse_lines(Path(path).read_text().splitlines()))
            for path in paths
        ]
    except OSError as error:
        raise CommandError(f'{error.filename}: {error.strerror}') from error
