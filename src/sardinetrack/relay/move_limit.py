"""How many streams an entry moves at a time, and how its moves ended."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Final

MAX_MOVES: Final = 4
"""The copies of all streams of a leaving engine at once would fill its links.
"""


class MoveLimit:
    """Limits and counts the moves of one entry."""

    def __init__(self) -> None:
        self.slots = asyncio.Semaphore(MAX_MOVES)
        self.outcomes: Counter[str] = Counter()
