"""Make the shared pieces of the tests importable; end what was started."""

from __future__ import annotations

import sys
from pathlib import Path

_LOG_CHARACTERS = 100_000
"""Of each process; the end alone tells the failure, not what led to it."""

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))


def after_scenario(context, scenario):
    """End the fleet of the scenario; show the logs of one that failed."""
    fleet = getattr(context, 'fleet', None)
    if fleet is None:
        return
    if scenario.status != 'passed':
        for process in fleet.processes.values():
            # What a hook writes to ``sys.stderr`` stays with the runner.
            tail = f'--- {process.name}\n{process.log_tail(_LOG_CHARACTERS)}\n'
            sys.__stderr__.write(tail)
    load = getattr(context, 'load', None)
    try:
        if load is not None:
            # The fleet waits for its callers, who ask until they are told.
            load.stop()
    finally:
        fleet.__exit__(None, None, None)
