"""Numbers of permit requests that no other one has."""

from __future__ import annotations

import secrets
from itertools import count
from typing import Final

_PREFIX_BYTES: Final = 4


class PermitNumbers:
    """Counts with a prefix that differs between entries and their starts.

    Callers choose the ids of their requests, and may send one twice at a time,
    also to two entries. Two permits with one id would release each other.
    """

    def __init__(self) -> None:
        """Start with a new prefix."""
        self._prefix = secrets.token_hex(_PREFIX_BYTES)
        self._numbers = count()

    def next_number(self) -> str:
        """Return a new number, without a dot."""
        return f'{self._prefix}-{next(self._numbers)}'
