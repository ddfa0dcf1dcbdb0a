"""The clock that permits are timed by."""

from __future__ import annotations

import asyncio


def loop_now() -> float:
    """Return the time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()
