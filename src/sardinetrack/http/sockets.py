"""What the kernel holds for a listener or a connection."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterator
from typing import Final

LAST_REQUEST_SECONDS: Final = 0.3
"""How long a connection that waits for a request stays open at the end."""


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


def accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept the connections that wait at a listener.

    A listener that is closed resets them; while the loop is late these are
    many, and their requests are on the way.

    :param listener: does not block.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            # None waits, or there is no descriptor for one more.
            return
        connection.setblocking(False)
        yield connection
