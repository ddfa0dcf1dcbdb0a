"""The memory use of this process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

_STATM: Final = Path('/proc/self/statm')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
_RESIDENT_FIELD: Final = 1
"""Index of the resident pages in the file."""


def resident_bytes() -> int:
    """Return the resident size; 0 where the system does not provide it."""
    try:
        fields = _STATM.read_text().split()
        return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
