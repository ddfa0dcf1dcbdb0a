"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum
from types import MappingProxyType
from typing import Final


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    FAILED = 1
    BAD_USAGE = 2
    LOST_RACE = 3
    NOT_IN_FORCE = 4
    INTERRUPTED = 130


MEANINGS: Final = MappingProxyType(
    {
        ExitCode.DONE: 'done',
        ExitCode.FAILED: 'failed',
        ExitCode.BAD_USAGE: 'bad settings or usage',
        ExitCode.LOST_RACE: 'lost a race against another operator',
        ExitCode.NOT_IN_FORCE: 'written, but not in force in time',
        ExitCode.INTERRUPTED: 'interrupted',
    },
)
