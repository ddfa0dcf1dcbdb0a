"""Execution counts and injected faults of stand-ins."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import httpcore

from support.caller import Caller, CallerResponse
from support.fleet import Fleet, eventually

ExecutionCounts = dict[str, dict[str, int]]

_CALLER = Caller('nobody')


class StandIns:
    """The engines and services of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._last_counts: dict[str, ExecutionCounts] = {}

    def executions(self, name: str) -> ExecutionCounts:
        """Read a stand-in's counts; if it has stopped, those read last."""
        if self._fleet.processes[name].running:
            self._last_counts[name] = eventually(
                lambda: self._read(name)
            ).json()
        return self._last_counts.get(name, {})

    def started(self, marker: str, *names: str) -> int:
        """Count executions of a marker at some stand-ins, or at all."""
        return sum(
            self.executions(name).get(marker, {}).get('started', 0)
            for name in names or self.names()
        )

    def all_started(self) -> Counter[str]:
        """Count the executions of each marker at all stand-ins."""
        counts: Counter[str] = Counter()
        for name in self.names():
            for marker, counted in self.executions(name).items():
                counts[marker] += counted['started']
        return counts

    def total(self, name: str) -> int:
        """Count all executions at one stand-in."""
        rows = self.executions(name).values()
        return sum(row['started'] for row in rows)

    def fault(self, *names: str, **faults: Any) -> None:
        """Replace the faults of some stand-ins; no faults clear them."""
        body = json.dumps(faults).encode()
        for name in names:
            response = _CALLER.call('PUT', f'{self._url(name)}/faults', body)
            assert response.status == 204, response

    def names(self) -> list[str]:
        """Return the names of all engines and services."""
        return [
            name
            for name, process in self._fleet.processes.items()
            if set(process.ready) == {'url'} and name != 'platform'
        ]

    def _read(self, name: str) -> CallerResponse | None:
        try:
            return _CALLER.call('GET', f'{self._url(name)}/executions')
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None  # It restarts after a crash; the read is tried again.

    def _url(self, name: str) -> str:
        return f'{self._fleet.processes[name].ready["url"]}/standin'
