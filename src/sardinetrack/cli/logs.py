"""Read the structured lines that processes have written."""

from __future__ import annotations

import sys
from pathlib import Path

from sardinetrack.cli.api import CommandError
from sardinetrack.logs.request_trace import Line, parse_lines


def read_logs(names: list[str]) -> list[list[Line]]:
    """Read files of lines, or standard input when none is named.

    :raises CommandError: a file can't be read.
    """
    if not names:
        return [list(parse_lines(sys.stdin))]
    try:
        return [
            list(parse_lines(Path(name).read_text().splitlines()))
            for name in names
        ]
    except OSError as error:
        raise CommandError(f'{error.filename}: {error.strerror}') from error
