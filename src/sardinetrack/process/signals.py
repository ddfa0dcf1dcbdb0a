"""Signals of a daemon: the first one drains it, the second one stops it."""

from __future__ import annotations

import signal
from typing import Final

import anyio

from sardinetrack.charts.drain import DRAIN_CHART, DrainEvent, DrainState
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.process.api import Drainable

_LOG: Final = ComponentLogger(LogComponent.PROCESS)


async def run_until_drained(daemon: Drainable) -> None:
    """Run until a signal has drained the daemon or a second one has stopped it.

    :param daemon: a daemon whose context is entered.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, daemon, tasks.cancel_scope)
        await daemon.run()
        tasks.cancel_scope.cancel()


async def _handle_signals(
    daemon: Drainable,
    scope: anyio.CancelScope,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async with anyio.create_task_group() as tasks:
            drain = DRAIN_CHART.start()
            async for signal_number in received:
                name = signal.Signals(signal_number).name
                if drain.state is not DrainState.SERVING:
                    drain.fire(DrainEvent.STOP)
                    _LOG.warning(
                        'stopping immediately on a second signal', signal=name
                    )
                    scope.cancel()
                    return
                _LOG.info('drains', signal=name)
                drain.fire(DrainEvent.DRAIN)
                tasks.start_soon(daemon.drain)
