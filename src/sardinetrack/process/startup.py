"""What the start of this process has cost so far."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Final

from sardinetrack.logs.lines import Part, PartLogger

_LOG: Final = PartLogger(Part.PROCESS)
_STAT: Final = Path('/proc/self/stat')
_START_TICKS_FIELD: Final = 19
"""Of the fields after the command's name; see ``proc(5)``."""
_DIGITS: Final = 2


def log_start() -> None:
    """Write the first line of a daemon: its program and settings are read.

    With the line of ``serving`` it tells a process that waited for something
    from one that got no processor time.
    """
    _LOG.info('starts', **startup_cost())


def startup_cost() -> dict[str, float]:
    """Tell what has passed since the process was created.

    :return: ``running_seconds`` by the clock, and ``processor_seconds``.
    """
    return {
        'running_seconds': round(_running_seconds(), _DIGITS),
        'processor_seconds': round(time.process_time(), _DIGITS),
    }


def _running_seconds() -> float:
    # The command's name is in parentheses and may hold spaces.
    _, _, fields = _STAT.read_text().rpartition(') ')
    ticks = int(fields.split()[_START_TICKS_FIELD])
    began_seconds = ticks / os.sysconf('SC_CLK_TCK')
    return time.clock_gettime(time.CLOCK_BOOTTIME) - began_seconds
