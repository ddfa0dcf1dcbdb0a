"""Reads the settings file of a process, at its start and again on a signal."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.platform.errors import SettingsFileError
from sardinetrack.platform.settings import read_settings, settings_path
from sardinetrack.process.caught_signals import CaughtSignals
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.settings import InstanceSettings

RETRY_SECONDS: Final = 0.1
_MAX_RETRY_SECONDS: Final = 2.0
_RETRY_FACTOR: Final = 2.0


def wait_for_settings(
    path: Path, log: EventLog, signals: CaughtSignals, *, serves_callers: bool
) -> InstanceSettings | None:
    """Read the settings, again while the file is absent or invalid.

    The platform may be in the middle of writing it.

    :param log: receives each cause once.
    :param signals: one that stops the process ends the wait.
    :param serves_callers: the addresses for callers are required.
    :return: ``None`` if the process is to stop.
    """
    logged_cause = ''
    while not signals.stop_requested:
        try:
            return read_settings(path, serves_callers=serves_callers)
        except SettingsFileError as error:
            logged_cause = _log_refusal(log, str(error), logged_cause)
        log.flush()
        time.sleep(RETRY_SECONDS)
    return None


class SettingsReload:
    """Rereads the settings of an entry, again while the file is invalid.

    It may be in the middle of being written, and no second signal comes.
    """

    def __init__(self, state: EntryState, log: EventLog) -> None:
        """Reread nothing yet."""
        self._state = state
        self._log = log
        self._retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Reread the settings now."""
        self._reload(RETRY_SECONDS, '')

    def _reload(self, retry_seconds: float, logged_cause: str) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        cause = reload_settings(self._state, self._log, logged_cause)
        if cause:
            self._retry = asyncio.get_running_loop().call_later(
                retry_seconds,
                self._reload,
                min(_MAX_RETRY_SECONDS, _RETRY_FACTOR * retry_seconds),
                cause,
            )


def reload_settings(
    state: EntryState, log: EventLog, logged_cause: str = ''
) -> str:
    """Reread the settings file; if it is invalid, keep the old settings.

    :param logged_cause: is not logged again.
    :return: why it is invalid, or ``''``.
    """
    try:
        settings = read_settings(settings_path(), serves_callers=True)
    except SettingsFileError as error:
        return _log_refusal(log, str(error), logged_cause)
    log.write(Event.RELOADED, changed=state.apply_settings(settings))
    return ''


def _log_refusal(log: EventLog, cause: str, logged_cause: str) -> str:
    """Log a cause unless it was the last one; return it."""
    if cause != logged_cause:
        log.write(Event.CONFIG_REFUSED, what='settings', cause=cause)
    return cause
