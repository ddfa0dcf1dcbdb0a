"""Samples the configuration that is active at instances."""

from __future__ import annotations

import threading
import time
from contextlib import suppress
from typing import Any

import httpcore

from support.fleet import Fleet

_POLL_INTERVAL_SECONDS = 0.05
_UNREACHABLE = (KeyError, httpcore.NetworkError, httpcore.TimeoutException)
_Samples = list[tuple[int, str]]


class ConfigWatch:
    """A thread that records every change of revision and digest.

    :param names: instances to sample.
    """

    def __init__(self, fleet: Fleet, names: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._names = names
        self._samples: dict[str, _Samples] = {name: [] for name in names}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> ConfigWatch:
        """Start sampling."""
        self._thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        """Stop sampling."""
        self._stopped.set()
        self._thread.join()

    def forget(self, name: str) -> None:
        """Forget the samples of an instance that is started again."""
        self._samples[name] = []

    def check(self) -> None:
        """Fail if an instance went back to an older configuration."""
        for name, samples in self._samples.items():
            revisions = [revision for revision, _ in samples]
            assert revisions == sorted(revisions), (name, samples)
            digests = [digest for _, digest in samples]
            assert len(digests) == len(set(digests)), (name, samples)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for name in self._names:
                with suppress(*_UNREACHABLE):
                    self._sample(name)
            time.sleep(_POLL_INTERVAL_SECONDS)

    def _sample(self, name: str) -> None:
        revision, digest = active_configuration(self._fleet, name)
        samples = self._samples[name]
        if not samples or samples[-1][1] != digest:
            samples.append((revision, digest))
        elif revision < samples[-1][0]:
            samples.append((revision, f'{digest} again'))


def active_configuration(fleet: Fleet, name: str) -> tuple[int, str]:
    """Read the revision and digest that are active at an instance."""
    status = fleet.operator(name, '/status').json()
    digest = status.get('configuration', status)
    return (int(digest['revision']), str(digest['digest']))
