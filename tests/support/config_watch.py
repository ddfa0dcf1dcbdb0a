"""Samples what configuration instances have in force."""

from __future__ import annotations

import threading
import time
from contextlib import suppress
from typing import Any

import httpcore

from support.fleet import Fleet

_PAUSE_SECONDS = 0.05
_NOT_THERE = (KeyError, httpcore.NetworkError, httpcore.TimeoutException)
_Shown = list[tuple[int, str]]


class ConfigWatch:
    """A thread that notes every change of revision and digest."""

    def __init__(self, fleet: Fleet, names: tuple[str, ...]) -> None:
        """Remember whom to ask."""
        self._fleet = fleet
        self._names = names
        self._seen: dict[str, _Shown] = {name: [] for name in names}
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> ConfigWatch:
        """Start to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        """Stop."""
        self._ended.set()
        self._thread.join()

    def restarted(self, name: str) -> None:
        """Forget what an instance showed in an earlier life."""
        self._seen[name] = []

    def check(self) -> None:
        """Fail when an instance has gone back."""
        for name, shown in self._seen.items():
            revisions = [revision for revision, _ in shown]
            assert revisions == sorted(revisions), (name, shown)
            digests = [digest for _, digest in shown]
            assert len(digests) == len(set(digests)), (name, shown)

    def _run(self) -> None:
        while not self._ended.is_set():
            for name in self._names:
                with suppress(*_NOT_THERE):
                    self._sample(name)
            time.sleep(_PAUSE_SECONDS)

    def _sample(self, name: str) -> None:
        revision, digest = in_force(self._fleet, name)
        shown = self._seen[name]
        if not shown or shown[-1][1] != digest:
            shown.append((revision, digest))
        elif revision < shown[-1][0]:
            shown.append((revision, f'{digest} again'))


def in_force(fleet: Fleet, name: str) -> tuple[int, str]:
    """Ask an instance for its revision and digest."""
    status = fleet.operator(name, '/status').json()
    digest = status.get('configuration', status)
    return (int(digest['revision']), str(digest['digest']))
