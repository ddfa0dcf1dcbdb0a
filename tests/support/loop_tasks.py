"""Clean-up of an event loop that belongs to one scenario."""

from __future__ import annotations

import asyncio


async def cancel_other_tasks():
    """Cancel all tasks of the loop but this one, and wait for their ends."""
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
