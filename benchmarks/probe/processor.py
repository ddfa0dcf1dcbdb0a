"""Processor time and memory of other processes, from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

_TICK_SECONDS: Final = 1 / os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
_USER_FIELD: Final = 11
"""Index from the state on, which follows the command's name."""
_RESIDENT_FIELD: Final = 21


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process with all its threads."""
    fields = _fields(pid)
    user_ticks = int(fields[_USER_FIELD])
    system_ticks = int(fields[_USER_FIELD + 1])
    return (user_ticks + system_ticks) * _TICK_SECONDS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(_fields(pid)[_RESIDENT_FIELD]) * _PAGE_BYTES


def _fields(pid: int) -> list[str]:
    stat = Path(f'/proc/{pid}/stat').read_text()
    return stat.rpartition(')')[2].split()
