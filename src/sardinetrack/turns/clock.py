"""The clock of turns."""

from __future__ import annotations

import asyncio


def loop_now() -> float:
    """Read the clock of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()
