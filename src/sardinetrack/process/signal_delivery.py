"""Delivers the signals of a process on its event loop."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from typing import Final

from sardinetrack.process.caught_signals import CaughtSignals

_READ_BYTES: Final = 4096


@contextmanager
def delivered_signals(
    signals: CaughtSignals,
    on_stop: Callable[[], object],
    on_reload: Callable[[], object],
) -> Iterator[None]:
    """Call handlers on the running loop, also for signals caught before.

    The handlers of ``loop.add_signal_handler`` can't be used: closing the loop
    restores the default actions, which end the process.

    :param signals: caught from the start of the process.
    :param on_stop: called when the process is to stop.
    :param on_reload: called when its settings have changed.
    """
    loop = asyncio.get_running_loop()
    receiver, sender = socket.socketpair()
    with receiver, sender:
        receiver.setblocking(False)
        sender.setblocking(False)
        deliver = partial(_deliver, signals, on_stop, on_reload)
        loop.add_reader(receiver, _wake, receiver, deliver)
        # The interpreter runs handlers only when it returns from its wait for
        # events, which this write ends.
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        deliver()
        try:
            yield
        finally:
            signal.set_wakeup_fd(-1)
            loop.remove_reader(receiver)


def _wake(receiver: socket.socket, deliver: Callable[[], None]) -> None:
    with suppress(BlockingIOError):
        receiver.recv(_READ_BYTES)
    deliver()


def _deliver(
    signals: CaughtSignals,
    on_stop: Callable[[], object],
    on_reload: Callable[[], object],
) -> None:
    if signals.stop_requested:
        on_stop()
    if signals.take_reload():
        on_reload()
