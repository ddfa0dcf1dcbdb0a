"""The incarnation of a process: an id that each start generates."""

from __future__ import annotations

import secrets
from typing import Final

_RANDOM_BYTES: Final = 6


def new_incarnation() -> str:
    """Generate an id that no other start of a process has had."""
    return secrets.token_hex(_RANDOM_BYTES)
