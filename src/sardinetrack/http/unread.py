"""Whether something waits in a connection that the loop has not read."""

from __future__ import annotations

import asyncio
import select


def descriptor(transport: asyncio.BaseTransport | None) -> int:
    """Tell the descriptor of a transport; negative if there is none."""
    if transport is None or transport.is_closing():
        return -1
    sock = transport.get_extra_info('socket')
    return -1 if sock is None else int(sock.fileno())


def has_unread(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes, or an end, have arrived and are not read yet.

    A late loop that closed such a connection would reset it. Its caller could
    not tell whether the request has run.
    """
    fileno = descriptor(transport)
    if fileno < 0:
        return False
    poll = select.poll()
    poll.register(fileno, select.POLLIN)
    return bool(poll.poll(0))
