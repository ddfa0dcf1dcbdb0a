"""Build and run the processes of an instance: an entry or a side."""

from __future__ import annotations

import asyncio
import gc
import os
from collections.abc import (
    AsyncIterator,
    Callable,
    Coroutine,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from importlib import import_module
from types import MappingProxyType, ModuleType
from typing import Final

from sardinetrack import __version__
from sardinetrack.compose.settings_file import (
    SettingsReload,
    wait_for_settings,
)
from sardinetrack.compose.store_view import entry_view, side_watcher
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.platform.engine_report import REPORT_PATH, decode_report
from sardinetrack.platform.errors import SettingsFileError
from sardinetrack.platform.protocol_adapter import (
    READY_PATH,
    PlatformProtocolAdapter,
)
from sardinetrack.platform.settings import settings_path
from sardinetrack.platform.store import PlatformStore
from sardinetrack.process.caught_signals import CaughtSignals
from sardinetrack.process.ports import OpenListener, Ports
from sardinetrack.process.signal_delivery import delivered_signals
from sardinetrack.relay.entry import Entry
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.memory import resident_bytes
from sardinetrack.relay.settings import InstanceSettings, SocketAddress
from sardinetrack.relay.status_pages import (
    Page,
    StatusPageConnection,
    readiness_page,
)
from sardinetrack.turns.engine_monitor import EngineSource
from sardinetrack.turns.side import SideServer

_FLUSH_INTERVAL_SECONDS: Final = 0.2
_GC_THRESHOLDS: Final = (20_000, 20, 100)
"""Makes full collections rare: one pauses a busy entry for 0.2 s or more."""
_BAD_USAGE: Final = 2
_STANDARD_OUTPUT: Final = 1
_STANDARD_ERROR: Final = 2
_ENTRY: Final = 'entry'
METRICS_PATH: Final = b'/metrics'


@dataclass(frozen=True, slots=True)
class Process:
    """What each role is run with."""

    settings: InstanceSettings
    log: EventLog
    signals: CaughtSignals


def main(arguments: Sequence[str], signals: CaughtSignals) -> int:
    """Run an entry or a side until a signal stops it.

    :param arguments: the role, ``entry`` or ``side``.
    :param signals: caught since the start of the process.
    :return: the exit code.
    """
    _open_standard_descriptors()
    role = arguments[0] if arguments else ''
    runner = _ROLES.get(role)
    if runner is None:
        known = ', '.join(_ROLES)
        return _refuse_usage(f'the role must be one of {known}')
    try:
        path = settings_path()
    except SettingsFileError as error:
        return _refuse_usage(str(error))
    log = EventLog(_STANDARD_OUTPUT, '')
    with _logged_end(log):
        settings = wait_for_settings(
            path, log, signals, serves_callers=role == _ENTRY
        )
        if settings is not None:
            log.instance = settings.instance
            _run(role, runner, Process(settings, log, signals))
    signals.ignore()
    return 0


def _refuse_usage(message: str) -> int:
    os.write(_STANDARD_ERROR, f'sardinetrack: {message}\n'.encode())
    return _BAD_USAGE


def _open_standard_descriptors() -> None:
    """Open those that are closed, before anything else gets their numbers.

    Otherwise the log would be written into a connection.
    """
    for number in range(_STANDARD_ERROR + 1):
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def _run(role: str, runner: _Runner, process: Process) -> None:
    settings = process.settings
    process.log.write(
        Event.STARTED,
        role=role,
        version=__version__,
        failure_domain=settings.failure_domain,
        settings=repr(settings),
    )
    # Imported objects live until exit. Walking through them at each full
    # collection would block the event loop for tens of milliseconds.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    asyncio.run(runner(process))


@contextmanager
def _logged_end(log: EventLog) -> Iterator[None]:
    """Write why the process ends, also if an unexpected error ends it."""
    cause = 'signal'
    try:
        yield
    except BaseException as error:
        cause = repr(error)
        raise
    finally:
        log.write(Event.STOPPED, cause=cause, resident_bytes=resident_bytes())
        log.flush()


def _log_fault(
    log: EventLog,
    _loop: asyncio.AbstractEventLoop,
    context: Mapping[str, object],
) -> None:
    cause = context.get('exception') or context.get('message')
    log.write(Event.FAULT, cause=repr(cause))


async def _run_entry(process: Process) -> None:
    settings, log = process.settings, process.log
    stop = asyncio.Event()
    state = EntryState(settings, log)
    store = PlatformStore(settings.store)
    entry = Entry(state, PlatformProtocolAdapter(), entry_view(state, store))
    reload = SettingsReload(state, log)
    async with _served(process, stop.set, reload.start) as ports:
        if stop.is_set():
            # It was stopped while it was loaded.
            return
        async with entry:
            await _open_pages(ports, entry, settings)
            await ports.open(
                'metrics',
                _metrics_server(
                    settings,
                    lambda page: page.entry_metrics(state, store.counters),
                ),
            )
            await stop.wait()
            log.write(Event.STOPPING)
            await entry.drain()


async def _open_pages(
    ports: Ports, entry: Entry, settings: InstanceSettings
) -> None:
    assert settings.ready is not None  # noqa: S101
    pages = {READY_PATH: lambda: readiness_page(ready=entry.ready)}
    await ports.open('ready', _page_server(pages, settings.ready))


async def _run_side(process: Process) -> None:
    settings, log = process.settings, process.log
    stop = asyncio.Event()
    store = PlatformStore(settings.store)
    side = SideServer(
        (settings.ip, settings.turns_port),
        side_watcher(settings, store, log),
        log,
        settings.engine
        and EngineSource(settings.engine, REPORT_PATH, decode_report),
    )
    reload = partial(log.write, Event.RELOADED)
    async with _served(process, stop.set, reload) as ports, side:
        await ports.open(
            'metrics',
            _metrics_server(
                settings,
                lambda metrics: metrics.side_metrics(side, store.counters),
            ),
        )
        while not stop.is_set():
            log.flush()
            await asyncio.sleep(_FLUSH_INTERVAL_SECONDS)
        log.write(Event.STOPPING)


@asynccontextmanager
async def _served(
    process: Process,
    on_stop: Callable[[], object],
    on_reload: Callable[[], object],
) -> AsyncIterator[Ports]:
    """Handle signals and unexpected errors; yield what opens the ports."""
    # The event loop's default handler writes a traceback of ten lines for each
    # error. At a thousand errors a second that takes longer than the work that
    # failed.
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(partial(_log_fault, process.log))
    with delivered_signals(process.signals, on_stop, on_reload):
        async with Ports(process.log) as ports:
            yield ports


def _metrics_page(
    collect: Callable[[ModuleType], Iterable[object]],
) -> tuple[int, bytes]:
    metrics = import_module('sardinetrack.relay.metrics')
    return HTTPStatus.OK, metrics.render_metrics(partial(collect, metrics))


def _page_server(
    pages: dict[bytes, Page], address: SocketAddress
) -> OpenListener:
    """Return what opens the listener of a few pages."""
    return partial(
        asyncio.get_running_loop().create_server,
        lambda: StatusPageConnection(pages),
        *address,
    )


def _metrics_server(
    settings: InstanceSettings,
    collect: Callable[[ModuleType], Iterable[object]],
) -> OpenListener:
    """Return what opens the listener of the metrics page.

    The metrics library is loaded on the first request for the page. Loading it
    at the start would take a tenth of the time in which a killed process is
    ready again.
    """
    return _page_server(
        {METRICS_PATH: partial(_metrics_page, collect)},
        (settings.ip, settings.metrics_port),
    )


_Runner = Callable[[Process], Coroutine[None, None, None]]
_ROLES: Final[Mapping[str, _Runner]] = MappingProxyType(
    {_ENTRY: _run_entry, 'side': _run_side},
)
