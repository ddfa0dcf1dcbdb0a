"""Access to the kernel's state of a listener or a connection."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import termios
from array import array
from collections.abc import Iterator
from contextlib import suppress
from typing import Final

FINAL_REQUEST_WAIT_SECONDS: Final = 0.3
"""How long an idle connection stays open for a last request at shutdown."""


def file_descriptor(transport: asyncio.BaseTransport | None) -> int:
    """Return the file descriptor of a transport; negative if there is none."""
    if transport is None or transport.is_closing():
        return -1
    sock = transport.get_extra_info('socket')
    return -1 if sock is None else int(sock.fileno())


def has_unread_data(transport: asyncio.BaseTransport | None) -> bool:
    """Whether data or the end of the stream has arrived but is not read yet.

    Closing such a connection, as an event loop that is late could do, resets
    it. Its client could not tell whether the request has run.
    """
    fileno = file_descriptor(transport)
    if fileno < 0:
        return False
    poll = select.poll()
    poll.register(fileno, select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how much of what was sent the peer's system has not received.

    :return: 0 if the system does not tell.
    """
    unacknowledged = array('i', (0,))
    with suppress(OSError):
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, unacknowledged)
    return unacknowledged[0]


def has_failed(sock: socket.socket) -> bool:
    """Whether a connection has been reset, or has failed otherwise."""
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def accept_queued(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept the connections that are pending at a listener.

    Closing a listener resets its pending connections. When the event loop is
    late there are many, and their requests are on the way.

    :param listener: a non-blocking socket.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            # No connection is pending, or no file descriptor is free.
            return
        connection.setblocking(False)
        yield connection
