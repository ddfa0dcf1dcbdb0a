"""Time that the start of this process has taken so far."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Final

from sardinetrack.logs.lines import ComponentLogger, LogComponent

_LOG: Final = ComponentLogger(LogComponent.PROCESS)
_STAT_PATH: Final = Path('/proc/self/stat')
_START_TICKS_FIELD: Final = 19
"""Index among the fields after the command's name; see ``proc(5)``."""
_DECIMALS: Final = 2


def log_start() -> None:
    """Log the first line of a daemon, when its program and settings are loaded.

    Together with the line of ``serving`` it distinguishes a process that waited
    for something from one that got no processor time.
    """
    _LOG.info('starts', **startup_durations())


def startup_durations() -> dict[str, float]:
    """Return the time since the process was created.

    :return: ``running_seconds`` by the clock, and ``processor_seconds``.
    """
    return {
        'running_seconds': round(_running_seconds(), _DECIMALS),
        'processor_seconds': round(time.process_time(), _DECIMALS),
    }


def _running_seconds() -> float:
    # The command's name is in parentheses and may contain spaces.
    _, _, fields = _STAT_PATH.read_text().rpartition(') ')
    ticks = int(fields.split()[_START_TICKS_FIELD])
    started_seconds = ticks / os.sysconf('SC_CLK_TCK')
    return time.clock_gettime(time.CLOCK_BOOTTIME) - started_seconds
